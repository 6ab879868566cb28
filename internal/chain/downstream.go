package chain

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"nickelline/internal/segment"
	"nickelline/internal/view"
)

type linkState uint8

const (
	linkConnecting linkState = iota // the receiver's history is awaited
	linkAwaitingSnapshot
	linkSendingSnapshot
	linkStreaming
)

// link feeds a successor or a learner.
type link struct {
	to      view.Member
	learner bool

	session    Session
	state      linkState
	generation uint64 // of the receiver
	next       uint64 // sequence of the next entry to send
	stored     uint64 // on the receiver's disk
	acked      uint64 // on the disks of the receiver and of all after it
	ready      bool

	committedSent uint64
	barrierSent   uint64
	barrierAcked  uint64

	snapshot      *segment.Snapshot
	snapshotSent  uint64
	snapshotAcked uint64

	deadline time.Duration // of the next sign of progress, 0: none is awaited
	attempts int           // sessions without progress
}

// neededAfter gives the sequence after which the receiver needs entries.
func (l *link) neededAfter() uint64 {
	switch {
	case l.state == linkStreaming:
		return l.next - 1
	case l.snapshot != nil:
		return l.snapshot.Sequence
	}
	return ^uint64(0)
}

// links gives all links in a fixed order.
func (r *Replica) links() []*link {
	if r.successor == nil && len(r.learners) == 0 {
		return nil
	}
	var all []*link
	if r.successor != nil {
		all = append(all, r.successor)
	}
	for _, replica := range r.learnerOrder() {
		all = append(all, r.learners[replica])
	}
	return all
}

func (r *Replica) learnerOrder() []view.ReplicaID {
	return slices.Sorted(maps.Keys(r.learners))
}

// connectSuccessor begins to feed the successor in the view, if this replica is complete.
func (r *Replica) connectSuccessor(now time.Duration) {
	successor, ok := r.view.Successor(r.self.Replica)
	if !ok || !r.complete() || r.successor != nil {
		return
	}
	r.successor = &link{to: successor}
	r.connect(now, r.successor)
}

// connect begins a new session. What the receiver had acknowledged before no longer counts.
func (r *Replica) connect(now time.Duration, l *link) {
	r.sessions++
	l.session = Session{Generation: r.generation, Number: r.sessions}
	l.state = linkConnecting
	l.ready = false
	l.stored = 0
	l.acked = 0
	l.snapshot = nil
	l.committedSent = 0
	l.barrierSent = 0
	r.send(l.to.Address, Connect{Session: l.session})
	l.deadline = now + retryInterval<<min(l.attempts, retryDoublings)
}

// rewindLinks begins new sessions where entries after a sequence that were dropped may have been sent.
func (r *Replica) rewindLinks(now time.Duration, sequence uint64) {
	for _, l := range r.links() {
		if l.state == linkStreaming && l.next <= sequence+1 {
			continue
		}
		r.connect(now, l)
	}
}

// receiveAttach connects to a replica that asks for it, unless it is being fed.
func (r *Replica) receiveAttach(now time.Duration, from netip.AddrPort, sender view.ReplicaID, m Attach) {
	if !r.complete() {
		return
	}
	l := r.linkTo(sender)
	if l == nil && !r.view.Has(sender) {
		l = &link{to: view.Member{Replica: sender, Address: from}, learner: true}
		r.learners[sender] = l
		r.connect(now, l)
		return
	}
	if l == nil {
		return
	}
	l.to.Address = from
	broken := m.Broken && m.Session == l.session
	if broken || (m.Session == Session{}) {
		r.connect(now, l)
	}
}

func (r *Replica) linkTo(replica view.ReplicaID) *link {
	if r.successor != nil && r.successor.to.Replica == replica {
		return r.successor
	}
	return r.learners[replica]
}

// receiveHistory finds where the receiver's log and the own one part.
func (r *Replica) receiveHistory(now time.Duration, sender view.ReplicaID, m History) {
	l := r.linkTo(sender)
	if l == nil || l.session != m.Session || l.state != linkConnecting {
		return
	}
	l.generation = m.Generation
	common, ok := lastCommonPosition(r.history.runs(), m.Runs)
	if !ok {
		l.state = linkAwaitingSnapshot
		r.out.SnapshotRequested = true
		r.noteProgress(now, l)
		return
	}
	if common.Sequence < m.Committed {
		r.reportViolation("replica %d has committed %d, and parts at %d", sender, m.Committed, common.Sequence)
		return
	}
	r.start(now, l, common)
}

// start begins to send the entries after a position.
func (r *Replica) start(now time.Duration, l *link, common Position) {
	l.state = linkStreaming
	l.next = common.Sequence + 1
	l.snapshot = nil
	target := r.history.last().Sequence
	if l.learner {
		target = r.committed
	}
	r.send(l.to.Address, Start{Session: l.session, Generation: l.generation, Match: common, Target: target})
	r.noteProgress(now, l)
}

// SnapshotTaken gives a snapshot of the state at an entry that was committed.
func (r *Replica) SnapshotTaken(now time.Duration, snapshot segment.Snapshot) {
	position := Position{Epoch: snapshot.Epoch, Sequence: snapshot.Sequence}
	if held, ok := r.history.position(snapshot.Sequence); ok && held == position {
		for _, l := range r.links() {
			if l.state == linkAwaitingSnapshot {
				l.state = linkSendingSnapshot
				l.snapshot = &snapshot
				l.snapshotSent = 0
				l.snapshotAcked = 0
				r.noteProgress(now, l)
			}
		}
	}
	r.followUp(now)
}

// receiveAcknowledge takes the receiver's progress.
func (r *Replica) receiveAcknowledge(now time.Duration, sender view.ReplicaID, m Acknowledge) {
	l := r.linkTo(sender)
	if l == nil || l.session != m.Session {
		return
	}
	switch l.state {
	case linkSendingSnapshot:
		r.acknowledgeSnapshot(now, l, m.SnapshotBytes)
	case linkStreaming:
		r.acknowledgeEntries(now, l, m)
	}
}

func (r *Replica) acknowledgeSnapshot(now time.Duration, l *link, received uint64) {
	if received <= l.snapshotAcked {
		return
	}
	l.snapshotAcked = received
	r.noteProgress(now, l)
	if received == l.snapshotTotal() {
		r.start(now, l, Position{Epoch: l.snapshot.Epoch, Sequence: l.snapshot.Sequence})
	}
}

func (r *Replica) acknowledgeEntries(now time.Duration, l *link, m Acknowledge) {
	if m.Stored > l.stored || m.Synced > l.acked || m.Barrier > l.barrierAcked || m.Ready != l.ready {
		r.noteProgress(now, l)
	}
	l.stored = max(l.stored, min(m.Stored, l.next-1))
	l.acked = max(l.acked, min(m.Synced, l.next-1))
	l.barrierAcked = max(l.barrierAcked, m.Barrier)
	l.ready = m.Ready
	if !l.outstanding() {
		l.deadline = 0
	}
}

// outstanding tells whether something is to be acknowledged yet.
func (l *link) outstanding() bool {
	if l.state != linkStreaming || l.stored < l.next-1 {
		return true
	}
	return !l.learner && (!l.ready || l.acked < l.next-1 || l.barrierAcked < l.barrierSent)
}

// snapshotTotal is the length of the snapshot, at least one byte so that an empty one is acknowledged too.
func (l *link) snapshotTotal() uint64 { return max(1, uint64(len(l.snapshot.Data))) }

// noteProgress puts off the retry.
func (r *Replica) noteProgress(now time.Duration, l *link) {
	l.attempts = 0
	r.setRetryDeadline(now, l)
}

func (r *Replica) setRetryDeadline(now time.Duration, l *link) {
	var bytes uint64
	switch l.state {
	case linkStreaming:
		bytes = r.inFlight(l)
	case linkSendingSnapshot:
		bytes = l.snapshotSent - l.snapshotAcked
	}
	transfer := time.Duration(bytes) * time.Second / slowestLink
	l.deadline = now + retryInterval<<min(l.attempts, retryDoublings) + transfer
}

// inFlight gives the bytes of entries that were sent and are not known to be on the receiver's disk.
func (r *Replica) inFlight(l *link) uint64 {
	return r.history.bytesUpTo(l.next-1) - r.history.bytesUpTo(l.stored)
}

// retry begins a new session where no progress came in time.
func (r *Replica) retry(now time.Duration, l *link) {
	if l.deadline == 0 || now < l.deadline {
		return
	}
	l.attempts++
	if l.state == linkAwaitingSnapshot {
		r.out.SnapshotRequested = true
		r.setRetryDeadline(now, l)
		return
	}
	r.connect(now, l)
}

// dropUnresponsiveLearners forgets learners that do not answer. They ask again if they live.
func (r *Replica) dropUnresponsiveLearners() {
	maps.DeleteFunc(r.learners, func(_ view.ReplicaID, l *link) bool { return l.attempts > learnerAttempts })
}

// flush sends what the window of a link permits.
func (r *Replica) flush(now time.Duration, l *link) {
	switch l.state {
	case linkSendingSnapshot:
		r.flushSnapshot(now, l)
	case linkStreaming:
		r.flushEntries(now, l)
	}
}

func (r *Replica) flushSnapshot(now time.Duration, l *link) {
	total := l.snapshotTotal()
	for l.snapshotSent < total && l.snapshotSent-l.snapshotAcked < snapshotWindow*r.limits.snapshotChunk {
		end := min(l.snapshotSent+r.limits.snapshotChunk, total)
		r.send(l.to.Address, SnapshotChunk{
			Session:    l.session,
			Generation: l.generation,
			Position:   Position{Epoch: l.snapshot.Epoch, Sequence: l.snapshot.Sequence},
			Total:      total,
			Offset:     l.snapshotSent,
			Data:       l.snapshot.Data[min(l.snapshotSent, uint64(len(l.snapshot.Data))):min(end, uint64(len(l.snapshot.Data)))],
		})
		l.snapshotSent = end
		r.setRetryDeadline(now, l)
	}
}

// flushEntries sends entries that are on the own disk, to a learner only committed ones.
func (r *Replica) flushEntries(now time.Duration, l *link) {
	if l.next <= r.history.base.Sequence {
		r.connect(now, l)
		return
	}
	limit := r.synced
	if l.learner {
		limit = min(limit, r.committed)
	}
	for l.next <= limit && (l.stored == l.next-1 || r.inFlight(l) < r.limits.window) {
		entries := r.history.batch(l.next-1, limit, r.limits.batch)
		r.sendAppend(now, l, entries)
	}
	if l.committedSent < min(r.committed, l.next-1) || l.barrierSent < r.barrierFor(l) {
		r.sendAppend(now, l, nil)
	}
}

func (r *Replica) sendAppend(now time.Duration, l *link, entries []segment.Entry) {
	previous, _ := r.history.position(l.next - 1)
	idle := !l.outstanding()
	barrier := r.barrierFor(l)
	r.send(l.to.Address, Append{
		Session:   l.session,
		Previous:  previous,
		Entries:   entries,
		Committed: r.committed,
		Barrier:   barrier,
	})
	l.next += uint64(len(entries))
	l.committedSent = r.committed
	l.barrierSent = barrier
	if idle && l.outstanding() {
		r.setRetryDeadline(now, l)
	}
}

// barrierFor gives the newest barrier to be passed on.
func (r *Replica) barrierFor(l *link) uint64 {
	if l.learner {
		return 0
	}
	if r.isHead() {
		return r.head.round
	}
	return r.upstream.barrier
}
