package chain

import (
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/segment"
	"nickelline/internal/view"
)

const (
	// defaultSnapshotBytes is Options.SnapshotBytes if that is not set.
	defaultSnapshotBytes = 4 << 20
	// snapshotRetryPause is the pause before a snapshot that could not be saved is tried again.
	snapshotRetryPause = time.Second
)

// applier applies committed entries to the state machine of a node, in order, and takes its snapshots.
type applier struct {
	node         *Node
	stateMachine StateMachine
	wake         chan struct{}
	quit         chan struct{}
	done         chan struct{}
	saving       sync.WaitGroup

	// Used by the goroutine of run only.
	position           Position
	bytesSinceSnapshot int // total size of the entries applied since the last snapshot
	snapshotBytes      int // size of the last snapshot

	applied uint64 // guarded by the mutex of the node

	mutex             sync.Mutex // guards what follows
	queue             []applierTask
	snapshotRequested bool
	savingSnapshot    bool
	snapshotFailed    bool // the last snapshot that was due has not been saved
}

// applierTask is a view that came into force, or an operation on the state machine if view is nil.
type applierTask struct {
	operation ApplyOperation
	view      *view.View
}

// newApplier returns an applier for a node whose state machine holds the recovered snapshot.
func newApplier(n *Node, state Recovered, snapshot *segment.Snapshot) *applier {
	a := &applier{
		node:         n,
		stateMachine: n.options.StateMachine,
		wake:         make(chan struct{}, 1),
		quit:         make(chan struct{}),
		done:         make(chan struct{}),
		position:     Position{Epoch: state.Snapshot.Epoch, Sequence: state.Snapshot.Sequence},
		applied:      state.Snapshot.Sequence,
	}
	if snapshot != nil {
		a.snapshotBytes = len(snapshot.Data)
	}
	return a
}

func (a *applier) start() { go a.run() }

// stop ends the goroutines of the applier and waits for them.
func (a *applier) stop() {
	close(a.quit)
	<-a.done
	a.saving.Wait()
}

// add queues the apply operations, views and snapshot request of an output.
func (a *applier) add(out Output) {
	if len(out.Apply) == 0 && len(out.Views) == 0 && !out.SnapshotRequested {
		return
	}
	a.mutex.Lock()
	for _, operation := range out.Apply {
		a.queue = append(a.queue, applierTask{operation: operation})
	}
	for _, v := range out.Views {
		a.queue = append(a.queue, applierTask{view: &v})
	}
	a.snapshotRequested = a.snapshotRequested || out.SnapshotRequested
	a.mutex.Unlock()
	notify(a.wake)
}

// take returns and clears the queue.
func (a *applier) take() (tasks []applierTask, snapshotRequested bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	tasks, snapshotRequested = a.queue, a.snapshotRequested
	a.queue, a.snapshotRequested = nil, false
	return tasks, snapshotRequested
}

// run performs queued tasks until the applier is stopped or a snapshot cannot be restored.
func (a *applier) run() {
	defer close(a.done)
	for {
		select {
		case <-a.quit:
			return
		case <-a.wake:
		}
		tasks, snapshotRequested := a.take()
		for _, task := range tasks {
			if err := a.perform(task); err != nil {
				a.node.fail(err, true)
				return
			}
		}
		if snapshotRequested {
			a.passSnapshot()
		}
		a.compact()
	}
}

func (a *applier) perform(task applierTask) error {
	switch {
	case task.view != nil:
		a.node.notifyView(*task.view)
		return nil
	case task.operation.Restore != nil:
		return a.restore(*task.operation.Restore)
	}
	a.apply(task.operation.Entries)
	return nil
}

// restore replaces the state with a snapshot received from another replica.
func (a *applier) restore(snapshot segment.Snapshot) error {
	if err := a.stateMachine.Restore(snapshot.Data); err != nil {
		return merry.Prepend(err, "snapshot of another replica")
	}
	a.bytesSinceSnapshot = 0
	a.snapshotBytes = len(snapshot.Data)
	a.advance(Position{Epoch: snapshot.Epoch, Sequence: snapshot.Sequence})
	return nil
}

// apply applies entries, and passes their results to the callers that wait for them at this node.
func (a *applier) apply(entries []segment.Entry) {
	calls := a.node.takeAccepted(entries)
	for _, entry := range entries {
		result := a.stateMachine.Apply(entry.Sequence, entry.Data)
		a.bytesSinceSnapshot += len(entry.Data)
		if call := calls[entry.Sequence]; call != nil {
			call.resolve(proposalResult{result: result})
		}
	}
	last := entries[len(entries)-1]
	a.advance(Position{Epoch: last.Epoch, Sequence: last.Sequence})
}

// advance records how far entries have been applied, and calls the functions registered by OnCommit.
func (a *applier) advance(position Position) {
	a.position = position
	a.node.mutex.Lock()
	a.applied = position.Sequence
	a.node.wakeWatchers()
	callbacks := a.node.onCommit
	a.node.mutex.Unlock()
	for _, f := range callbacks {
		f(position.Sequence)
	}
}

// passSnapshot passes a snapshot to the Replica, which sends it to receivers that lack more than the history has.
func (a *applier) passSnapshot() {
	snapshot := a.snapshot()
	a.node.step(func(now time.Duration) { a.node.replica.SnapshotTaken(now, snapshot) })
}

func (a *applier) snapshot() segment.Snapshot {
	return segment.Snapshot{Epoch: a.position.Epoch, Sequence: a.position.Sequence, Data: a.stateMachine.Snapshot()}
}

// compact saves a snapshot in the background once the entries that it replaces are as large as Options.SnapshotBytes and
// as the last snapshot, or if the last attempt has failed.
func (a *applier) compact() {
	bound := a.node.options.SnapshotBytes
	if bound == 0 {
		bound = defaultSnapshotBytes
	}
	due := a.bytesSinceSnapshot >= max(bound, a.snapshotBytes)
	if !a.beginSaving(due) {
		return
	}
	snapshot := a.snapshot()
	a.bytesSinceSnapshot = 0
	a.snapshotBytes = len(snapshot.Data)
	a.saving.Go(func() { a.save(snapshot) })
}

// beginSaving marks that a snapshot is being saved, if one is due or the last one has not been saved. It reports false if neither is
// the case, or one is being saved already.
func (a *applier) beginSaving(due bool) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.savingSnapshot || !due && !a.snapshotFailed {
		return false
	}
	a.savingSnapshot = true
	return true
}

// endSaving marks that no snapshot is being saved any longer.
func (a *applier) endSaving(failed bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.savingSnapshot = false
	a.snapshotFailed = failed
}

// save writes a snapshot, while run goes on applying entries. If the disk fails, it pauses and wakes run, which tries again: without
// snapshots the log would grow, and the disk become full.
func (a *applier) save(snapshot segment.Snapshot) {
	err := a.node.disk.log.SaveSnapshot(snapshot)
	if !segment.IsTransient(err) || errors.Is(err, segment.ErrUnfinishedReset) {
		a.node.diskHealth.succeed(snapshotTask) // or the log is closed, or was reset to a received snapshot meanwhile
		a.endSaving(false)
		return
	}
	a.node.diskHealth.fail(snapshotTask, err)
	a.pause(snapshotRetryPause)
	a.endSaving(true)
	notify(a.wake)
}

// pause waits, or returns early if the applier is stopped.
func (a *applier) pause(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-a.quit:
	case <-timer.C:
	}
}
