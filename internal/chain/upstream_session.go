package chain

import (
	"net/netip"
	"time"

	"nickelline/internal/view"
)

// upstream is the receiving side of a session: from the predecessor, or from the source of a learner.
type upstream struct {
	from      netip.AddrPort // invalid if there is no replica to receive from
	session   Session
	sender    view.ReplicaID
	started   bool   // the position from which entries follow is known
	target    uint64 // sequence that makes a member complete once it is on disk here
	committed uint64 // sequence up to which the sender knows entries to be committed
	barrier   uint64 // newest one that came from the head

	snapshot *incomingSnapshot

	lastAck  Acknowledge   // that was sent
	ackDue   bool          // one has to be sent, also if nothing has changed
	attachAt time.Duration // when to ask for a session, 0: no need to
}

// incomingSnapshot is a snapshot of which chunks have arrived.
type incomingSnapshot struct {
	position Position
	total    uint64 // bytes
	received uint64 // bytes, one for an empty snapshot
	data     []byte
}

// resetUpstream forgets the session, at the beginning of an epoch, and finds the replica to receive from.
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

// Follow has a learner, which no view names, receive from the member at an address.
func (r *Replica) Follow(now time.Duration, from netip.AddrPort) {
	if r.newestView().Has(r.self.Replica) || from == r.source {
		return
	}
	r.source = from
	r.resetUpstream(now)
	r.followUp(now)
}

// attach asks the upstream replica for a session when that is due.
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

// isUpstream reports whether a replica is the one to receive from: the predecessor of a member, the source of a
// learner.
func (r *Replica) isUpstream(from netip.AddrPort, sender view.ReplicaID) bool {
	if !r.view.Has(r.self.Replica) {
		return from == r.source
	}
	predecessor, ok := r.view.Predecessor(r.self.Replica)
	return ok && predecessor.Replica == sender
}

// receiveConnect begins a session with the upstream replica, and answers with an outline of the own log.
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

// checkSession reports whether a message belongs to the current session. A predecessor that uses a later one, whose
// beginning was missed here, is asked for a new session.
func (r *Replica) checkSession(sender view.ReplicaID, session Session) bool {
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

// requestNewSession asks the upstream replica for a session in place of one that is of no use here.
func (r *Replica) requestNewSession(session Session) {
	r.send(r.upstream.from, Attach{Session: session, Broken: true})
}
