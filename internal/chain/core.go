package chain

import (
	"fmt"
	"net/netip"
	"time"

	"nickelline/internal/segment"
	"nickelline/internal/view"
)

// Timing and sizes of the protocol.
const (
	retryInterval   = 250 * time.Millisecond // until a session without progress is replaced, doubled twice
	retryDoublings  = 2
	slowestLink     = 500 << 10              // bytes a second that are waited for before a retry
	attachInterval  = 500 * time.Millisecond // between requests for a session
	learnerInterval = time.Second            // between a learner's requests, also while it has a session
	learnerAttempts = 8                      // sessions without progress until a learner is given up
	snapshotWindow  = 2                      // pieces of a snapshot that are sent and not acknowledged
	batchEntries    = 4096                   // entries in one message
	generationShift = 32                     // barrier numbers are ordered by the generation of the head, then by its count
)

// sizes are bounds on bytes.
type sizes struct {
	window       uint64 // of entries sent and not on the receiver's disk
	batch        uint64 // of entries in one message, if there is more than one
	snapshotPart uint64 // of a snapshot in one message
	uncommitted  uint64 // appended at the head and not committed; further proposals wait
	waiting      int    // of proposals that wait; further ones are refused
	retained     uint64 // of committed entries kept for receivers to come
	lagging      uint64 // the same, for a receiver that lags
}

func defaultSizes() sizes {
	return sizes{
		window:       1 << 20,
		batch:        256 << 10,
		snapshotPart: 256 << 10,
		uncommitted:  8 << 20,
		waiting:      16 << 20,
		retained:     1 << 20,
		lagging:      4 << 20,
	}
}

// Core is a replica of a chain as a state machine without input or output: events go in by its methods, each of which
// takes a reading of a steady clock; Output tells what to do.
//
// # Protocol
//
// Each member of the view feeds its successor over a session: the successor outlines its log, the last common position
// is found, what follows it is dropped, and entries that are on the sender's disk follow. A replica acknowledges what it
// and all replicas after it have on disk; what is acknowledged to the head is committed, and the commit travels down.
// So within an epoch the log of a replica on disk always contains that of its successor, and a committed entry is on the
// disks of all members.
//
// A replica is complete if it has all that was committed in earlier epochs. Members of the first view are; one that
// joined later is once it has synced what its predecessor, itself complete, had when their session began. As entries
// are only committed with all members, a complete one stays so while it is in every view. Only complete replicas feed
// others, and only a complete head takes proposals.
type Core struct {
	chain           uint32
	self            view.Member
	minimumReplicas int
	generation      uint64
	sizes           sizes

	view          view.View
	installing    *view.View // being written to disk
	completeEpoch uint64     // latest epoch in which the replica was complete, 0 if it never was
	completing    uint64     // the same, being written to disk

	history   *history
	synced    uint64
	committed uint64

	upstream  upstream
	feeder    netip.AddrPort // of a learner
	successor *link
	learners  map[view.ReplicaID]*link
	sessions  uint64

	head headState

	lastDisk uint64
	disk     []pendingDisk
	out      Output
}

// pendingDisk is a disk operation that is not done yet.
type pendingDisk struct {
	id     uint64
	synced uint64 // sequence on disk once it is done, 0 if it appends nothing
	record *Record
}

// Recovered is what a replica found in its directory.
type Recovered struct {
	Record   Record // zero if there was none
	Snapshot segment.Snapshot
	Entries  []segment.Entry
}

// NewCore makes the state machine of a replica that was started. The record that its first output asks to be written
// raises its generation.
func NewCore(now time.Duration, chain uint32, self view.Member, minimumReplicas int, recovered Recovered) *Core {
	base := Position{Epoch: recovered.Snapshot.Epoch, Sequence: recovered.Snapshot.Sequence}
	c := &Core{
		chain:           chain,
		self:            self,
		minimumReplicas: minimumReplicas,
		generation:      recovered.Record.Generation + 1,
		sizes:           defaultSizes(),
		completeEpoch:   recovered.Record.CompleteEpoch,
		history:         newHistory(base, recovered.Entries),
		committed:       base.Sequence,
		learners:        make(map[view.ReplicaID]*link),
		head:            headState{proposals: make(map[uint64]uint64)},
	}
	c.view.Chain = chain
	c.synced = c.history.last().Sequence
	installed := recovered.Record.View
	installed.Chain = chain
	c.installing = &installed
	c.write(DiskOperation{Record: c.record(installed)}, 0)
	return c
}

// Output takes what the events since the last call ask for.
func (c *Core) Output() Output {
	out := c.out
	c.out = Output{}
	return out
}

// View gives the view that is in force.
func (c *Core) View() view.View { return c.view }

// Status gives the replica's progress. Applied is left to the driver.
func (c *Core) Status() Status {
	return Status{
		Epoch:        c.view.Epoch,
		LastAppended: c.history.last().Sequence,
		Synced:       c.synced,
		Committed:    c.committed,
		Complete:     c.complete(),
		CaughtUp:     c.caughtUp(),
		Ready:        c.headReady(),
	}
}

// Install takes a view that was decided. It comes into force once it is on the disk.
func (c *Core) Install(now time.Duration, v view.View) {
	newest := c.view.Epoch
	if c.installing != nil {
		newest = c.installing.Epoch
	}
	if v.Epoch <= newest || v.Chain != c.chain {
		return
	}
	v = v.Clone()
	c.installing = &v
	c.write(DiskOperation{Record: c.record(v)}, 0)
}

// DiskDone tells that a disk operation, and those before it, are on the disk.
func (c *Core) DiskDone(now time.Duration, id uint64) {
	for len(c.disk) > 0 && c.disk[0].id <= id {
		operation := c.disk[0]
		c.disk = c.disk[1:]
		c.synced = max(c.synced, operation.synced)
		if operation.record != nil {
			c.recordWritten(now, operation.record)
		}
	}
	c.finish(now)
}

func (c *Core) recordWritten(now time.Duration, record *Record) {
	if record.CompleteEpoch > c.completeEpoch {
		c.completeEpoch = record.CompleteEpoch
		c.connectSuccessor(now)
	}
	if c.installing != nil && c.installing.Epoch == record.View.Epoch {
		installed := *c.installing
		c.installing = nil
		c.enter(now, installed)
	}
}

// enter brings a view into force, which is on the disk.
func (c *Core) enter(now time.Duration, v view.View) {
	c.notifyLearners(v)
	c.view = v
	if member, ok := v.Member(c.self.Replica); ok && member.Joined <= 1 {
		c.completeEpoch = max(c.completeEpoch, 1)
	}
	c.successor = nil
	clear(c.learners)
	c.resetUpstream(now)
	c.connectSuccessor(now)
	c.enterAsHead(now)
	if v.Epoch > 0 {
		c.out.Views = append(c.out.Views, v.Clone())
	}
}

// record is what should be on the disk with a view. While one is being installed a later record keeps it.
func (c *Core) record(v view.View) *Record {
	return &Record{View: v.Clone(), CompleteEpoch: max(c.completeEpoch, c.completing), Generation: c.generation}
}

// newestView is the one that the record on disk holds, or will.
func (c *Core) newestView() view.View {
	if c.installing != nil {
		return *c.installing
	}
	return c.view
}

// complete tells whether the replica has all that was ever committed.
func (c *Core) complete() bool {
	member, ok := c.view.Member(c.self.Replica)
	return ok && c.completeEpoch >= member.Joined
}

// checkComplete notices that the replica became complete, and has that written to disk first.
func (c *Core) checkComplete() {
	if c.complete() || c.completing == c.view.Epoch || !c.view.Has(c.self.Replica) {
		return
	}
	if !c.upstream.started || c.synced < c.upstream.target {
		return
	}
	c.completing = c.view.Epoch
	c.write(DiskOperation{Record: c.record(c.newestView())}, 0)
}

// caughtUp tells whether a learner has what its feeder knew to be committed.
func (c *Core) caughtUp() bool {
	return c.upstream.started && !c.view.Has(c.self.Replica) && c.synced >= c.upstream.committed
}

func (c *Core) write(operation DiskOperation, synced uint64) {
	c.lastDisk++
	operation.ID = c.lastDisk
	c.out.Disk = append(c.out.Disk, operation)
	c.disk = append(c.disk, pendingDisk{id: operation.ID, synced: synced, record: operation.Record})
}

// append adds entries to the log.
func (c *Core) append(entries []segment.Entry) {
	if len(entries) == 0 {
		return
	}
	c.history.append(entries)
	c.write(DiskOperation{Append: entries}, c.history.last().Sequence)
}

// truncate drops the entries after a sequence, and what waits to be synced of them.
func (c *Core) truncate(now time.Duration, sequence uint64) {
	if sequence >= c.history.last().Sequence {
		return
	}
	c.history.truncate(sequence)
	c.synced = min(c.synced, sequence)
	for i := range c.disk {
		c.disk[i].synced = min(c.disk[i].synced, sequence)
	}
	c.write(DiskOperation{Truncate: &sequence}, 0)
	c.rewindLinks(now, sequence)
}

// reset replaces the log by a snapshot.
func (c *Core) reset(now time.Duration, snapshot segment.Snapshot) {
	for i := range c.disk {
		c.disk[i].synced = 0
	}
	c.history = newHistory(Position{Epoch: snapshot.Epoch, Sequence: snapshot.Sequence}, nil)
	c.synced = 0
	c.committed = snapshot.Sequence
	c.write(DiskOperation{Reset: &snapshot}, snapshot.Sequence)
	c.out.Apply = append(c.out.Apply, ApplyOperation{Restore: &snapshot})
	clear(c.learners)
	c.successor = nil
	c.connectSuccessor(now)
}

// commit has the entries up to a sequence applied.
func (c *Core) commit(sequence uint64) {
	if sequence <= c.committed {
		return
	}
	entries := c.history.between(c.committed, sequence)
	c.out.Apply = append(c.out.Apply, ApplyOperation{Entries: entries})
	for _, entry := range entries {
		delete(c.head.proposals, entry.Sequence)
	}
	c.committed = sequence
}

// trimHistory drops committed entries from memory once they are more than the bound by a quarter. A receiver that lacks
// one of them is fed with a snapshot.
func (c *Core) trimHistory() {
	if c.history.bytes() > c.sizes.retained+c.sizes.retained/4 {
		c.history.trim(c.trimPoint())
	}
}

// trimPoint spares the newest committed entries, and those that a receiver lacks, if that is not too much.
func (c *Core) trimPoint() uint64 {
	end := c.history.bytesUpTo(c.committed)
	point := c.history.firstWithin(c.committed, c.sizes.retained)
	lowest := point
	for _, l := range c.links() {
		lowest = min(lowest, max(l.needed(), c.history.base.Sequence))
	}
	if end-c.history.bytesUpTo(lowest) <= c.sizes.lagging {
		return lowest
	}
	return point
}

// Receive takes a message of another replica.
func (c *Core) Receive(now time.Duration, from netip.AddrPort, e Envelope) {
	if e.Chain != c.chain {
		return
	}
	switch body := e.Body.(type) {
	case ViewRequest:
		c.sendView(from)
	case ViewNotice:
		c.Install(now, body.View)
	default:
		c.receiveInEpoch(now, from, e)
	}
	c.finish(now)
}

// receiveInEpoch takes nothing from another epoch, but has the side that is behind learn the newer view.
func (c *Core) receiveInEpoch(now time.Duration, from netip.AddrPort, e Envelope) {
	if e.Epoch > c.view.Epoch {
		c.learnOf(e.Epoch, from)
		return
	}
	if e.Epoch < c.view.Epoch {
		c.sendView(from)
		return
	}
	switch body := e.Body.(type) {
	case Attach:
		c.receiveAttach(now, from, e.Sender, body)
	case Connect:
		c.receiveConnect(now, from, e.Sender, body)
	case History:
		c.receiveHistory(now, e.Sender, body)
	case Start:
		c.receiveStart(now, e.Sender, body)
	case SnapshotPart:
		c.receiveSnapshotPart(now, e.Sender, body)
	case Append:
		c.receiveAppend(now, e.Sender, body)
	case Acknowledge:
		c.receiveAcknowledge(now, e.Sender, body)
	}
}

// learnOf asks a replica for its view if that is newer than the own one.
func (c *Core) learnOf(epoch uint64, from netip.AddrPort) {
	if epoch > c.newestView().Epoch {
		c.send(from, ViewRequest{})
	}
}

// Tick tells the time, for retries.
func (c *Core) Tick(now time.Duration) { c.finish(now) }

// Deadline gives the time at which Tick should be called, and whether there is one.
func (c *Core) Deadline() (time.Duration, bool) {
	earliest := c.upstream.attachAt
	for _, l := range c.links() {
		if l.deadline != 0 && (earliest == 0 || l.deadline < earliest) {
			earliest = l.deadline
		}
	}
	return earliest, earliest != 0
}

// finish follows up on what an event changed.
func (c *Core) finish(now time.Duration) {
	c.checkComplete()
	c.advanceReceiver()
	c.advanceHead()
	for _, l := range c.links() {
		c.retry(now, l)
		c.flush(now, l)
	}
	c.dropLostLearners()
	c.acknowledge()
	c.attach(now)
	c.trimHistory()
}

func (c *Core) send(to netip.AddrPort, body Body) {
	envelope := Envelope{Chain: c.chain, Epoch: c.view.Epoch, Sender: c.self.Replica, Body: body}
	c.out.Messages = append(c.out.Messages, Outgoing{To: to, Envelope: envelope})
}

func (c *Core) sendView(to netip.AddrPort) {
	if c.view.Epoch > 0 {
		c.send(to, ViewNotice{View: c.view.Clone()})
	}
}

// notifyLearners tells those who were fed here that a view follows.
func (c *Core) notifyLearners(v view.View) {
	for _, replica := range c.learnerOrder() {
		c.send(c.learners[replica].to.Address, ViewNotice{View: v.Clone()})
	}
}

func (c *Core) fault(format string, arguments ...any) {
	c.out.Faults = append(c.out.Faults, fmt.Sprintf(format, arguments...))
}
