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

// limits are bounds on bytes.
type limits struct {
	window        uint64 // of entries sent and not on the receiver's disk
	batch         uint64 // of entries in one message, if there is more than one
	snapshotChunk uint64 // of a snapshot in one message
	uncommitted   uint64 // appended at the head and not committed; further proposals wait
	waiting       int    // of proposals that wait; further ones are refused
	retained      uint64 // of committed entries kept for receivers to come
	lagging       uint64 // the same, for a receiver that lags
}

func defaultLimits() limits {
	return limits{
		window:        1 << 20,
		batch:         256 << 10,
		snapshotChunk: 256 << 10,
		uncommitted:   8 << 20,
		waiting:       16 << 20,
		retained:      1 << 20,
		lagging:       4 << 20,
	}
}

// Replica is a replica of a chain as a state machine without input or output: events go in by its methods, each of which
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
type Replica struct {
	chain           uint32
	self            view.Member
	minimumReplicas int
	generation      uint64
	limits          limits

	view          view.View
	installing    *view.View // being written to disk
	completeEpoch uint64     // latest epoch in which the replica was complete, 0 if it never was
	completing    uint64     // the same, being written to disk

	history   *history
	synced    uint64
	committed uint64

	upstream  upstream
	source    netip.AddrPort // of a learner
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

// NewReplica makes the state machine of a replica that was started. The record that its first output asks to be written
// raises its generation.
func NewReplica(now time.Duration, chain uint32, self view.Member, minimumReplicas int, recovered Recovered) *Replica {
	base := Position{Epoch: recovered.Snapshot.Epoch, Sequence: recovered.Snapshot.Sequence}
	r := &Replica{
		chain:           chain,
		self:            self,
		minimumReplicas: minimumReplicas,
		generation:      recovered.Record.Generation + 1,
		limits:          defaultLimits(),
		completeEpoch:   recovered.Record.CompleteEpoch,
		history:         newHistory(base, recovered.Entries),
		committed:       base.Sequence,
		learners:        make(map[view.ReplicaID]*link),
		head:            headState{proposals: make(map[uint64]uint64)},
	}
	r.view.Chain = chain
	r.synced = r.history.last().Sequence
	installed := recovered.Record.View
	installed.Chain = chain
	r.installing = &installed
	r.write(DiskOperation{Record: r.record(installed)}, 0)
	return r
}

// Output takes what the events since the last call ask for.
func (r *Replica) Output() Output {
	out := r.out
	r.out = Output{}
	return out
}

// View gives the view that is in force.
func (r *Replica) View() view.View { return r.view }

// Status gives the replica's progress. Applied is left to the driver.
func (r *Replica) Status() Status {
	return Status{
		Epoch:        r.view.Epoch,
		LastAppended: r.history.last().Sequence,
		Synced:       r.synced,
		Committed:    r.committed,
		Complete:     r.complete(),
		CaughtUp:     r.caughtUp(),
		Ready:        r.headReady(),
	}
}

// Install takes a view that was decided. It comes into force once it is on the disk.
func (r *Replica) Install(now time.Duration, v view.View) {
	newest := r.view.Epoch
	if r.installing != nil {
		newest = r.installing.Epoch
	}
	if v.Epoch <= newest || v.Chain != r.chain {
		return
	}
	v = v.Clone()
	r.installing = &v
	r.write(DiskOperation{Record: r.record(v)}, 0)
}

// DiskDone tells that a disk operation, and those before it, are on the disk.
func (r *Replica) DiskDone(now time.Duration, id uint64) {
	for len(r.disk) > 0 && r.disk[0].id <= id {
		operation := r.disk[0]
		r.disk = r.disk[1:]
		r.synced = max(r.synced, operation.synced)
		if operation.record != nil {
			r.recordWritten(now, operation.record)
		}
	}
	r.followUp(now)
}

func (r *Replica) recordWritten(now time.Duration, record *Record) {
	if record.CompleteEpoch > r.completeEpoch {
		r.completeEpoch = record.CompleteEpoch
		r.connectSuccessor(now)
	}
	if r.installing != nil && r.installing.Epoch == record.View.Epoch {
		installed := *r.installing
		r.installing = nil
		r.enterView(now, installed)
	}
}

// enterView brings a view into force, which is on the disk.
func (r *Replica) enterView(now time.Duration, v view.View) {
	r.notifyLearners(v)
	r.view = v
	if member, ok := v.Member(r.self.Replica); ok && member.Joined <= 1 {
		r.completeEpoch = max(r.completeEpoch, 1)
	}
	r.successor = nil
	clear(r.learners)
	r.resetUpstream(now)
	r.connectSuccessor(now)
	r.updateHeadRole(now)
	if v.Epoch > 0 {
		r.out.Views = append(r.out.Views, v.Clone())
	}
}

// record is what should be on the disk with a view. While one is being installed a later record keeps it.
func (r *Replica) record(v view.View) *Record {
	return &Record{View: v.Clone(), CompleteEpoch: max(r.completeEpoch, r.completing), Generation: r.generation}
}

// newestView is the one that the record on disk holds, or will.
func (r *Replica) newestView() view.View {
	if r.installing != nil {
		return *r.installing
	}
	return r.view
}

// complete tells whether the replica has all that was ever committed.
func (r *Replica) complete() bool {
	member, ok := r.view.Member(r.self.Replica)
	return ok && r.completeEpoch >= member.Joined
}

// checkComplete notices that the replica became complete, and has that written to disk first.
func (r *Replica) checkComplete() {
	if r.complete() || r.completing == r.view.Epoch || !r.view.Has(r.self.Replica) {
		return
	}
	if !r.upstream.started || r.synced < r.upstream.target {
		return
	}
	r.completing = r.view.Epoch
	r.write(DiskOperation{Record: r.record(r.newestView())}, 0)
}

// caughtUp tells whether a learner has what its source knew to be committed.
func (r *Replica) caughtUp() bool {
	return r.upstream.started && !r.view.Has(r.self.Replica) && r.synced >= r.upstream.committed
}

func (r *Replica) write(operation DiskOperation, synced uint64) {
	r.lastDisk++
	operation.ID = r.lastDisk
	r.out.Disk = append(r.out.Disk, operation)
	r.disk = append(r.disk, pendingDisk{id: operation.ID, synced: synced, record: operation.Record})
}

// append adds entries to the log.
func (r *Replica) append(entries []segment.Entry) {
	if len(entries) == 0 {
		return
	}
	r.history.append(entries)
	r.write(DiskOperation{Append: entries}, r.history.last().Sequence)
}

// truncate drops the entries after a sequence, and what waits to be synced of them.
func (r *Replica) truncate(now time.Duration, sequence uint64) {
	if sequence >= r.history.last().Sequence {
		return
	}
	r.history.truncate(sequence)
	r.synced = min(r.synced, sequence)
	for i := range r.disk {
		r.disk[i].synced = min(r.disk[i].synced, sequence)
	}
	r.write(DiskOperation{Truncate: &sequence}, 0)
	r.rewindLinks(now, sequence)
}

// reset replaces the log by a snapshot.
func (r *Replica) reset(now time.Duration, snapshot segment.Snapshot) {
	for i := range r.disk {
		r.disk[i].synced = 0
	}
	r.history = newHistory(Position{Epoch: snapshot.Epoch, Sequence: snapshot.Sequence}, nil)
	r.synced = 0
	r.committed = snapshot.Sequence
	r.write(DiskOperation{Reset: &snapshot}, snapshot.Sequence)
	r.out.Apply = append(r.out.Apply, ApplyOperation{Restore: &snapshot})
	clear(r.learners)
	r.successor = nil
	r.connectSuccessor(now)
}

// commit has the entries up to a sequence applied.
func (r *Replica) commit(sequence uint64) {
	if sequence <= r.committed {
		return
	}
	entries := r.history.between(r.committed, sequence)
	r.out.Apply = append(r.out.Apply, ApplyOperation{Entries: entries})
	for _, entry := range entries {
		delete(r.head.proposals, entry.Sequence)
	}
	r.committed = sequence
}

// trimHistory drops committed entries from memory once they are more than the bound by a quarter. A receiver that lacks
// one of them is fed with a snapshot.
func (r *Replica) trimHistory() {
	if r.history.bytes() > r.limits.retained+r.limits.retained/4 {
		r.history.trim(r.trimPoint())
	}
}

// trimPoint spares the newest committed entries, and those that a receiver lacks, if that is not too much.
func (r *Replica) trimPoint() uint64 {
	end := r.history.bytesUpTo(r.committed)
	point := r.history.firstWithin(r.committed, r.limits.retained)
	lowest := point
	for _, l := range r.links() {
		lowest = min(lowest, max(l.neededAfter(), r.history.base.Sequence))
	}
	if end-r.history.bytesUpTo(lowest) <= r.limits.lagging {
		return lowest
	}
	return point
}

// Receive takes a message of another replica.
func (r *Replica) Receive(now time.Duration, from netip.AddrPort, e Envelope) {
	if e.Chain != r.chain {
		return
	}
	switch body := e.Body.(type) {
	case ViewRequest:
		r.sendView(from)
	case ViewNotice:
		r.Install(now, body.View)
	default:
		r.receiveInEpoch(now, from, e)
	}
	r.followUp(now)
}

// receiveInEpoch takes nothing from another epoch, but has the side that is behind learn the newer view.
func (r *Replica) receiveInEpoch(now time.Duration, from netip.AddrPort, e Envelope) {
	if e.Epoch > r.view.Epoch {
		r.requestNewerView(e.Epoch, from)
		return
	}
	if e.Epoch < r.view.Epoch {
		r.sendView(from)
		return
	}
	switch body := e.Body.(type) {
	case Attach:
		r.receiveAttach(now, from, e.Sender, body)
	case Connect:
		r.receiveConnect(now, from, e.Sender, body)
	case History:
		r.receiveHistory(now, e.Sender, body)
	case Start:
		r.receiveStart(now, e.Sender, body)
	case SnapshotChunk:
		r.receiveSnapshotChunk(now, e.Sender, body)
	case Append:
		r.receiveAppend(now, e.Sender, body)
	case Acknowledge:
		r.receiveAcknowledge(now, e.Sender, body)
	}
}

// requestNewerView asks a replica for its view if that is newer than the own one.
func (r *Replica) requestNewerView(epoch uint64, from netip.AddrPort) {
	if epoch > r.newestView().Epoch {
		r.send(from, ViewRequest{})
	}
}

// Tick tells the time, for retries.
func (r *Replica) Tick(now time.Duration) { r.followUp(now) }

// Deadline gives the time at which Tick should be called, and whether there is one.
func (r *Replica) Deadline() (time.Duration, bool) {
	earliest := r.upstream.attachAt
	for _, l := range r.links() {
		if l.deadline != 0 && (earliest == 0 || l.deadline < earliest) {
			earliest = l.deadline
		}
	}
	return earliest, earliest != 0
}

// followUp follows up on what an event changed.
func (r *Replica) followUp(now time.Duration) {
	r.checkComplete()
	r.advanceReceiver()
	r.advanceHead()
	for _, l := range r.links() {
		r.retry(now, l)
		r.flush(now, l)
	}
	r.dropUnresponsiveLearners()
	r.acknowledge()
	r.attach(now)
	r.trimHistory()
}

func (r *Replica) send(to netip.AddrPort, body Body) {
	envelope := Envelope{Chain: r.chain, Epoch: r.view.Epoch, Sender: r.self.Replica, Body: body}
	r.out.Messages = append(r.out.Messages, Outgoing{To: to, Envelope: envelope})
}

func (r *Replica) sendView(to netip.AddrPort) {
	if r.view.Epoch > 0 {
		r.send(to, ViewNotice{View: r.view.Clone()})
	}
}

// notifyLearners tells those who were fed here that a view follows.
func (r *Replica) notifyLearners(v view.View) {
	for _, replica := range r.learnerOrder() {
		r.send(r.learners[replica].to.Address, ViewNotice{View: v.Clone()})
	}
}

func (r *Replica) reportViolation(format string, arguments ...any) {
	r.out.Violations = append(r.out.Violations, fmt.Sprintf(format, arguments...))
}
