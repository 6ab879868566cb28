package chain

import (
	"errors"
	"net/netip"
	"path"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"nickelline/internal/fault"
	"nickelline/internal/peer"
	"nickelline/internal/segment"
	"nickelline/internal/view"
)

const (
	// LogDirectory is the name of the directory of the log within the directory of a chain.
	LogDirectory = "log"
	// minimumTimer is the shortest time after which the timer fires. It bounds how often the node wakes by itself.
	minimumTimer = 20 * time.Millisecond
)

// Node is the driver of one replica of one chain: it connects a Replica with a transport, a log on disk and a clock.
// One goroutine writes to disk and another one applies entries; Open starts them and Close waits for them. The methods
// of a Node are safe for concurrent use.
type Node struct {
	options   Options
	transport *peer.Transport
	began     time.Time
	disk      *diskWriter
	applier   *applier

	diskHealth *diskHealth

	closing sync.Once

	mutex          sync.Mutex
	replica        *Replica
	timer          *time.Timer
	timerAt        time.Duration                 // when the timer fires, 0 if it is not set
	failure        error                         // why the node no longer takes part in the protocol; nil while it does
	lastID         uint64                        // newest identifier of a proposal, a barrier or a forwarded call
	proposals      map[uint64]*proposalCall      // not appended yet, by identifier
	accepted       map[uint64]*proposalCall      // appended and not applied yet, by sequence
	barriers       map[uint64]chan BarrierResult // by identifier
	sharedBarriers remoteBarriers
	forwarded      map[uint64]forwardedCall // calls to the head, by identifier
	watchers       []*watcher
	onCommit       []func(uint64)
	onView         []func(view.View)
}

// Open restores a replica from its directory, or creates an empty one, and takes part in the view that it has on disk.
// An error that matches segment.ErrDamaged means that the replica is lost: its directory has to be emptied and its
// identity discarded. The caller must call Close.
func Open(options Options) (*Node, error) {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	record, err := loadRecord(options)
	if err != nil {
		return nil, err
	}
	log, recovered, err := segment.Open(options.FileSystem, path.Join(options.Directory, LogDirectory), segment.Options{})
	if err != nil {
		return nil, merry.Prependf(err, "open log of chain %d", options.Chain)
	}
	n, err := openNode(options, record, log, recovered)
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	n.disk.start()
	n.applier.start()
	n.step(func(time.Duration) {})
	return n, nil
}

// openNode restores the state machine, and registers the node, whose goroutines are not started yet, at the dispatcher.
func openNode(options Options, record Record, log *segment.Log, recovered segment.Recovered) (*Node, error) {
	state := Recovered{Record: record, Entries: recovered.Entries}
	if recovered.Snapshot != nil {
		state.Snapshot = *recovered.Snapshot
		if err := options.StateMachine.Restore(recovered.Snapshot.Data); err != nil {
			return nil, merry.Prependf(err, "restore snapshot of chain %d", options.Chain)
		}
		state.Snapshot.Data = nil
	}
	n := &Node{
		options:   options,
		transport: options.Dispatcher.transport,
		began:     time.Now().Add(-time.Nanosecond),
		proposals: make(map[uint64]*proposalCall),
		accepted:  make(map[uint64]*proposalCall),
		barriers:  make(map[uint64]chan BarrierResult),
		forwarded: make(map[uint64]forwardedCall),

		diskHealth: newDiskHealth(options.Log, options.Chain),
	}
	n.replica = NewReplica(options.Chain, options.Self, options.MinimumReplicas, state)
	n.disk = newDiskWriter(n, log, options.OnStall)
	n.applier = newApplier(n, state, recovered.Snapshot)
	if err := options.Dispatcher.add(n); err != nil {
		return nil, err
	}
	return n, nil
}

// Close stops the replica and waits for its goroutines. Calls that wait end with an error.
func (n *Node) Close() {
	n.fail(fault.New(fault.NotReady, "chain %d is closed", n.options.Chain), false)
	n.closing.Do(func() {
		n.options.Dispatcher.remove(n)
		n.applier.stop()
		n.disk.stop()
	})
}

// now returns the time that events carry, by the monotonic clock.
func (n *Node) now() time.Duration { return time.Since(n.began) }

// step passes an event to the Replica and dispatches its output. It does nothing once the node has failed.
func (n *Node) step(event func(now time.Duration)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.stepLocked(event)
}

// stepLocked is step with the mutex held.
func (n *Node) stepLocked(event func(now time.Duration)) {
	if n.failure != nil {
		return
	}
	now := n.now()
	event(now)
	n.dispatch(n.replica.Output())
	n.setTimer(now)
	n.wakeWatchers()
}

// dispatch passes the parts of an output to the disk writer, the transport, the callers and the applier. The mutex is
// held.
func (n *Node) dispatch(out Output) {
	for _, violation := range out.Violations {
		n.options.Log.Error("chain protocol violation", zap.Uint32("chain", n.options.Chain),
			zap.Uint64("sender", uint64(violation.Sender)), zap.String("what", violation.Description))
	}
	n.disk.add(out.Disk)
	for _, message := range out.Messages {
		n.send(message)
	}
	n.resolveProposals(out)
	for _, result := range out.Barriers {
		n.resolveBarrier(result)
	}
	n.applier.add(out)
	for _, v := range out.Views {
		n.options.Log.Info("view in force", zap.Uint32("chain", v.Chain), zap.Uint64("epoch", v.Epoch), zap.Int("members", len(v.Members)),
			zap.Int("position", v.Index(n.options.Self.Replica)))
		n.cancelForwardedCalls(v)
	}
}

// send sends a message without waiting for its delivery; the protocol makes up for lost messages.
func (n *Node) send(message Outgoing) {
	body, err := encodeEnvelope(message.Envelope)
	if err != nil {
		n.options.Log.Error("encode chain message failed", zap.Stringer("to", message.To), zap.Error(err))
		return
	}
	n.transport.Send(message.To, peer.Message{Kind: kindEnvelope, Body: body})
}

// setTimer arranges for Tick to be called at the deadline of the Replica. A timer that fires earlier is left as it is.
func (n *Node) setTimer(now time.Duration) {
	deadline, ok := n.replica.Deadline()
	if !ok || (n.timerAt != 0 && n.timerAt <= deadline) {
		return
	}
	n.timerAt = deadline
	wait := max(deadline-now, minimumTimer)
	if n.timer == nil {
		n.timer = time.AfterFunc(wait, n.tick)
		return
	}
	n.timer.Reset(wait)
}

// tick runs when the timer fires.
func (n *Node) tick() {
	n.step(func(now time.Duration) {
		n.timerAt = 0
		n.replica.Tick(now)
	})
}

// receive passes a message of another replica to the Replica.
func (n *Node) receive(from netip.AddrPort, e Envelope) {
	n.step(func(now time.Duration) { n.replica.Receive(now, from, e) })
}

// fail ends the participation of this replica in the protocol permanently, and all calls that wait. With report set, the
// error is logged and passed to Options.OnFailure. Only the first failure counts.
func (n *Node) fail(err error, report bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.failure != nil {
		return
	}
	n.failure = err
	if n.timer != nil {
		n.timer.Stop()
	}
	n.failCalls()
	n.wakeWatchers()
	if report {
		n.options.Log.Error("replica failed", zap.Uint32("chain", n.options.Chain), zap.Error(err))
		if n.options.OnFailure != nil {
			go n.options.OnFailure(err)
		}
	}
}
