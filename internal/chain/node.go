package chain

import (
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
	recordName = "record"
	// LogDirectory is where a chain keeps its log, within its directory.
	LogDirectory = "log"
	// minimumTimer bounds how often the node wakes by itself.
	minimumTimer = 20 * time.Millisecond
)

// Node is one replica of one chain: it drives a Replica with the messages of a transport, a log on disk and a clock. A
// goroutine writes to the disk, and another one applies entries to the machine.
type Node struct {
	options   Options
	transport *peer.Transport
	began     time.Time
	disk      *diskWriter
	applier   *applier
	closing   sync.Once

	mutex     sync.Mutex
	replica   *Replica
	timer     *time.Timer
	timerAt   time.Duration // 0: not set
	failure   error         // why the node takes part in nothing any more
	lastID    uint64
	proposals map[uint64]*proposalCall // by identity
	accepted  map[uint64]*proposalCall // by sequence
	barriers  map[uint64]chan BarrierResult
	remote    remoteBarriers
	forwarded map[uint64]forwardedCall
	watchers  []*watcher
	onCommit  []func(uint64)
	onView    []func(view.View)
}

// Open restores a replica from its directory, or makes an empty one. It takes part in the view that it has on disk. An
// error that matches segment.ErrDamaged means that the replica is lost: its directory has to be emptied, and with it the
// identity.
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
		return nil, merry.Prependf(err, "log of chain %d", options.Chain)
	}
	state := Recovered{Record: record, Entries: recovered.Entries}
	if recovered.Snapshot != nil {
		state.Snapshot = *recovered.Snapshot
		if err := options.Machine.Restore(recovered.Snapshot.Data); err != nil {
			return nil, merry.Prependf(err, "snapshot of chain %d", options.Chain)
		}
		state.Snapshot.Data = nil
	}
	n := &Node{
		options:   options,
		transport: options.Registry.transport,
		began:     time.Now().Add(-time.Nanosecond),
		proposals: make(map[uint64]*proposalCall),
		accepted:  make(map[uint64]*proposalCall),
		barriers:  make(map[uint64]chan BarrierResult),
		forwarded: make(map[uint64]forwardedCall),
	}
	n.replica = NewReplica(n.now(), options.Chain, options.Self, options.MinimumReplicas, state)
	n.disk = newDiskWriter(n, log, options.OnStall)
	n.applier = newApplier(n, state, recovered.Snapshot)
	if err := options.Registry.add(n); err != nil {
		return nil, err
	}
	n.disk.start()
	n.applier.start()
	n.step(func(time.Duration) {})
	return n, nil
}

// Close stops the replica. Calls that wait end with an error.
func (n *Node) Close() {
	n.fail(fault.New(fault.NotReady, "chain %d is closed", n.options.Chain), false)
	n.closing.Do(func() {
		n.options.Registry.remove(n)
		n.applier.stop()
		n.disk.stop()
	})
}

func (n *Node) now() time.Duration { return time.Since(n.began) }

// step lets an event happen and carries out what follows.
func (n *Node) step(event func(now time.Duration)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.stepLocked(event)
}

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

func (n *Node) dispatch(out Output) {
	for _, text := range out.Violations {
		n.options.Log.Error("breach of the chain's protocol", zap.Uint32("chain", n.options.Chain), zap.String("what", text))
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
		n.options.Log.Info("view", zap.Uint32("chain", v.Chain), zap.Uint64("epoch", v.Epoch), zap.Int("members", len(v.Members)),
			zap.Int("position", v.Index(n.options.Self.Replica)))
		n.cancelForwardedCalls(v)
	}
}

func (n *Node) send(message Outgoing) {
	body, err := encodeEnvelope(message.Envelope)
	if err != nil {
		n.options.Log.Error("encode", zap.Error(err))
		return
	}
	n.transport.Send(message.To, peer.Message{Kind: kindEnvelope, Body: body})
}

// setTimer has Tick called at the replica's deadline. A timer that is set to an earlier time is left alone.
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

func (n *Node) tick() {
	n.step(func(now time.Duration) {
		n.timerAt = 0
		n.replica.Tick(now)
	})
}

func (n *Node) receive(from netip.AddrPort, e Envelope) {
	n.step(func(now time.Duration) { n.replica.Receive(now, from, e) })
}

// fail ends the replica's part in everything.
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
