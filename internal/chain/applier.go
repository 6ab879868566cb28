package chain

import (
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"nickelline/internal/segment"
	"nickelline/internal/view"
)

const defaultSnapshotBytes = 4 << 20

// applier applies committed entries to the machine of a node, in order, and takes its snapshots.
type applier struct {
	node    *Node
	machine Machine
	wake    chan struct{}
	quit    chan struct{}
	done    chan struct{}
	saving  sync.WaitGroup

	// Of the goroutine that applies.
	position      Position
	bytes         int // of the entries applied since the last snapshot
	snapshotBytes int // size of the last snapshot

	applied uint64 // guarded by the mutex of the node

	mutex          sync.Mutex
	queue          []applierTask
	snapshotWanted bool
	savingSnapshot bool
}

// applierTask is an operation on the machine, or a view to tell.
type applierTask struct {
	operation ApplyOperation
	view      *view.View
}

func newApplier(n *Node, state Recovered, snapshot *segment.Snapshot) *applier {
	a := &applier{
		node:     n,
		machine:  n.options.Machine,
		wake:     make(chan struct{}, 1),
		quit:     make(chan struct{}),
		done:     make(chan struct{}),
		position: Position{Epoch: state.Snapshot.Epoch, Sequence: state.Snapshot.Sequence},
		applied:  state.Snapshot.Sequence,
	}
	if snapshot != nil {
		a.snapshotBytes = len(snapshot.Data)
	}
	return a
}

func (a *applier) start() { go a.run() }

func (a *applier) stop() {
	close(a.quit)
	<-a.done
	a.saving.Wait()
}

// add takes what an output asks for.
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
	a.snapshotWanted = a.snapshotWanted || out.SnapshotRequested
	a.mutex.Unlock()
	notify(a.wake)
}

func (a *applier) take() (tasks []applierTask, snapshotWanted bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	tasks, snapshotWanted = a.queue, a.snapshotWanted
	a.queue, a.snapshotWanted = nil, false
	return tasks, snapshotWanted
}

func (a *applier) run() {
	defer close(a.done)
	for {
		select {
		case <-a.quit:
			return
		case <-a.wake:
		}
		tasks, snapshotWanted := a.take()
		for _, task := range tasks {
			if err := a.perform(task); err != nil {
				a.node.fail(err, true)
				return
			}
		}
		if snapshotWanted {
			a.giveSnapshot()
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

func (a *applier) restore(snapshot segment.Snapshot) error {
	if err := a.machine.Restore(snapshot.Data); err != nil {
		return merry.Prepend(err, "snapshot of another replica")
	}
	a.bytes = 0
	a.snapshotBytes = len(snapshot.Data)
	a.advance(Position{Epoch: snapshot.Epoch, Sequence: snapshot.Sequence})
	return nil
}

func (a *applier) apply(entries []segment.Entry) {
	calls := a.node.takeAccepted(entries)
	for _, entry := range entries {
		result := a.machine.Apply(entry.Sequence, entry.Data)
		a.bytes += len(entry.Data)
		if call := calls[entry.Sequence]; call != nil {
			call.resolve(proposalResult{result: result})
		}
	}
	last := entries[len(entries)-1]
	a.advance(Position{Epoch: last.Epoch, Sequence: last.Sequence})
}

// advance makes known how far entries have been applied.
func (a *applier) advance(position Position) {
	a.position = position
	a.node.mutex.Lock()
	a.applied = position.Sequence
	a.node.wakeWatchers()
	notified := a.node.onCommit
	a.node.mutex.Unlock()
	for _, f := range notified {
		f(position.Sequence)
	}
}

// giveSnapshot hands a snapshot to the replica, for a replica that is to be fed.
func (a *applier) giveSnapshot() {
	snapshot := a.snapshot()
	a.node.step(func(now time.Duration) { a.node.replica.SnapshotTaken(now, snapshot) })
}

func (a *applier) snapshot() segment.Snapshot {
	return segment.Snapshot{Epoch: a.position.Epoch, Sequence: a.position.Sequence, Data: a.machine.Snapshot()}
}

// compact has a snapshot written once the entries that it replaces are larger than a bound and than the last snapshot.
func (a *applier) compact() {
	bound := a.node.options.SnapshotBytes
	if bound == 0 {
		bound = defaultSnapshotBytes
	}
	if a.bytes < max(bound, a.snapshotBytes) || !a.beginSaving() {
		return
	}
	snapshot := a.snapshot()
	a.bytes = 0
	a.snapshotBytes = len(snapshot.Data)
	a.saving.Go(func() { a.save(snapshot) })
}

func (a *applier) beginSaving() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.savingSnapshot {
		return false
	}
	a.savingSnapshot = true
	return true
}

func (a *applier) save(snapshot segment.Snapshot) {
	err := a.node.disk.log.SaveSnapshot(snapshot)
	a.mutex.Lock()
	a.savingSnapshot = false
	a.mutex.Unlock()
	// The log may have been replaced meanwhile.
	if err != nil && !errors.Is(err, segment.ErrOutOfOrder) {
		a.node.options.Log.Warn("snapshot not saved", zap.Error(err))
	}
}
