package chain

import (
	"net/netip"
	"time"

	"nickelline/internal/segment"
	"nickelline/internal/view"
)

// upstream is the session by which this replica is fed: by its predecessor, or, if no view names it, by a source.
type upstream struct {
	from      netip.AddrPort // invalid: the replica is fed by nobody
	session   Session
	sender    view.ReplicaID
	started   bool
	target    uint64 // on disk here, it makes a member complete
	committed uint64 // as the sender knows it
	barrier   uint64 // newest one that came from the head

	snapshot *incomingSnapshot

	lastAck  Acknowledge // last one that was sent
	ackDue   bool        // one has to be sent, also if it tells nothing new
	attachAt time.Duration
}

// incomingSnapshot is a snapshot of which parts have arrived.
type incomingSnapshot struct {
	position Position
	total    uint64
	received uint64
	data     []byte
}

// resetUpstream forgets the session, at the beginning of an epoch.
func (r *Replica) resetUpstream(now time.Duration) {
	r.upstream = upstream{}
	if r.view.Has(r.self.Replica) {
		r.source = netip.AddrPort{}
		if predecessor, ok := r.view.Predecessor(r.self.Replica); ok {
			r.upstream.from = predecessor.Address
			r.upstream.attachAt = now
		}
		return
	}
	if r.source.IsValid() {
		r.upstream.from = r.source
		r.upstream.attachAt = now
	}
}

// Follow has a replica that no view names be fed by the member at an address.
func (r *Replica) Follow(now time.Duration, from netip.AddrPort) {
	if r.newestView().Has(r.self.Replica) || from == r.source {
		return
	}
	r.source = from
	r.resetUpstream(now)
	r.followUp(now)
}

// attach asks for a session when it is time to.
func (r *Replica) attach(now time.Duration) {
	u := &r.upstream
	if u.attachAt == 0 || now < u.attachAt {
		return
	}
	learner := !r.view.Has(r.self.Replica)
	if u.started && !learner {
		u.attachAt = 0
		return
	}
	r.send(u.from, Attach{Session: u.session})
	u.attachAt = now + attachInterval
	if u.started {
		u.attachAt = now + learnerInterval
	}
}

// isUpstream tells whether a replica is the one to be fed by.
func (r *Replica) isUpstream(from netip.AddrPort, sender view.ReplicaID) bool {
	if !r.view.Has(r.self.Replica) {
		return from == r.source
	}
	predecessor, ok := r.view.Predecessor(r.self.Replica)
	return ok && predecessor.Replica == sender
}

func (r *Replica) receiveConnect(now time.Duration, from netip.AddrPort, sender view.ReplicaID, m Connect) {
	u := &r.upstream
	if !r.isUpstream(from, sender) || (sender == u.sender && !m.Session.After(u.session)) {
		return
	}
	barrier := u.barrier
	attachAt := u.attachAt
	*u = upstream{from: from, session: m.Session, sender: sender, barrier: barrier, attachAt: attachAt}
	if u.attachAt == 0 {
		u.attachAt = now + attachInterval
	}
	r.send(from, History{Session: m.Session, Generation: r.generation, Committed: r.committed, Runs: r.history.runs()})
}

// inSession tells whether a message belongs to the session. The sender of a later one, which was not begun here, has to
// begin anew.
func (r *Replica) inSession(sender view.ReplicaID, session Session) bool {
	u := &r.upstream
	if sender == u.sender && session == u.session {
		return true
	}
	if sender == u.sender && !session.After(u.session) {
		return false
	}
	if predecessor, ok := r.view.Predecessor(r.self.Replica); ok && predecessor.Replica == sender {
		r.requestNewSession(session)
	}
	return false
}

// requestNewSession asks for a new session.
func (r *Replica) requestNewSession(session Session) {
	r.send(r.upstream.from, Attach{Session: session, Broken: true})
}

func (r *Replica) receiveStart(now time.Duration, sender view.ReplicaID, m Start) {
	u := &r.upstream
	if !r.inSession(sender, m.Session) || m.Generation != r.generation || u.started {
		return
	}
	if held, ok := r.history.position(m.Match.Sequence); !ok || held != m.Match || m.Match.Sequence < r.committed {
		r.reportViolation("session starts at %v, committed is %d", m.Match, r.committed)
		return
	}
	r.truncate(now, m.Match.Sequence)
	u.started = true
	u.target = m.Target
	u.committed = m.Target
	if r.view.Has(r.self.Replica) {
		u.committed = 0
		u.attachAt = 0
	} else {
		u.attachAt = now + learnerInterval
	}
	u.ackDue = true
}

func (r *Replica) receiveAppend(now time.Duration, sender view.ReplicaID, m Append) {
	u := &r.upstream
	if !r.inSession(sender, m.Session) {
		return
	}
	if !u.started || m.Previous != r.history.last() {
		r.requestNewSession(m.Session)
		return
	}
	r.append(m.Entries)
	u.committed = max(u.committed, m.Committed)
	if m.Barrier > u.barrier {
		u.barrier = m.Barrier
	}
}

// advanceReceiver commits what is known to be committed and on the own disk: the machine is never ahead of that.
func (r *Replica) advanceReceiver() {
	if r.upstream.started {
		r.commit(min(r.upstream.committed, r.synced))
	}
}

func (r *Replica) receiveSnapshotChunk(now time.Duration, sender view.ReplicaID, m SnapshotChunk) {
	u := &r.upstream
	if !r.inSession(sender, m.Session) || m.Generation != r.generation || u.started {
		return
	}
	if m.Position.Sequence < r.committed {
		r.reportViolation("snapshot at %v, committed is %d", m.Position, r.committed)
		return
	}
	if u.snapshot == nil || u.snapshot.position != m.Position {
		u.snapshot = &incomingSnapshot{position: m.Position, total: m.Total}
	}
	if m.Offset != u.snapshot.received {
		r.requestNewSession(m.Session)
		return
	}
	u.snapshot.data = append(u.snapshot.data, m.Data...)
	u.snapshot.received += max(1, uint64(len(m.Data)))
	u.ackDue = true
	if u.snapshot.received < u.snapshot.total {
		return
	}
	r.reset(now, segment.Snapshot{Epoch: m.Position.Epoch, Sequence: m.Position.Sequence, Data: u.snapshot.data})
	u.snapshot.data = nil
}

// acknowledge tells the sender of the session about progress. A member that does not know on its disk that it is complete
// acknowledges nothing to be committed: what is committed in a view is held by all of its members, and each of them may be the
// head of the next one.
func (r *Replica) acknowledge() {
	u := &r.upstream
	if u.session == (Session{}) || (!u.started && u.snapshot == nil) {
		return
	}
	m := Acknowledge{Session: u.session}
	if u.snapshot != nil {
		m.SnapshotBytes = u.snapshot.received
	}
	if u.started {
		m.Stored = r.synced
	}
	if u.started && r.complete() {
		m.Synced, m.Ready = r.acknowledgeable()
		m.Barrier = r.returnedBarrier()
	}
	if m == u.lastAck && !u.ackDue {
		return
	}
	u.lastAck = m
	u.ackDue = false
	r.send(u.from, m)
}

// acknowledgeable gives what this replica and all after it have on disk, and whether they are connected.
func (r *Replica) acknowledgeable() (synced uint64, ready bool) {
	if _, ok := r.view.Successor(r.self.Replica); !ok {
		return r.synced, true
	}
	if r.successor == nil || r.successor.state != linkStreaming {
		return 0, false
	}
	return min(r.synced, r.successor.acked), r.successor.ready
}

// returnedBarrier gives the newest barrier that has been at the tail.
func (r *Replica) returnedBarrier() uint64 {
	if !r.view.Has(r.self.Replica) {
		return 0
	}
	if _, ok := r.view.Successor(r.self.Replica); !ok {
		return r.upstream.barrier
	}
	if r.successor == nil {
		return 0
	}
	return r.successor.barrierAcked
}
