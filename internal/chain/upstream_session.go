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
	started   bool   // Start was received, so the position after which entries follow is known
	target    uint64 // a member is complete once its log is on disk up to this sequence
	committed uint64 // sequence up to which the sender knows entries to be committed
	barrier   uint64 // newest barrier round that came from the head

	snapshot *incomingSnapshot

	lastAck  Acknowledge   // newest acknowledgement that was sent
	ackDue   bool          // an acknowledgement has to be sent even if nothing has changed
	attachAt time.Duration // when to ask for a session, 0 if there is no need to
}

// incomingSnapshot collects the chunks of a snapshot.
type incomingSnapshot struct {
	position Position
	total    uint64 // bytes
	received uint64 // bytes; an empty snapshot counts as 1
	data     []byte
}

// resetUpstream drops the session and determines the replica to receive from: the predecessor of a member, the source
// of a learner.
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

// Follow makes a learner, which no view names, receive from the member at an address.
func (r *Replica) Follow(now time.Duration, from netip.AddrPort) {
	if r.newestView().Has(r.self.Replica) || from == r.source {
		return
	}
	r.source = from
	r.resetUpstream(now)
	r.advance(now)
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
	r.sendUpstream(Attach{Session: u.session})
	u.attachAt = now + attachInterval
	if u.started {
		u.attachAt = now + learnerInterval
	}
}

// sendUpstream queues a message to the upstream replica. Before its first session a learner knows that replica by its address
// only.
func (r *Replica) sendUpstream(body Body) {
	receiver := r.upstream.sender
	if predecessor, ok := r.view.Predecessor(r.self.Replica); ok {
		receiver = predecessor.Replica
	}
	r.send(r.upstream.from, receiver, body)
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

// receiveConnect begins a session with the upstream replica, and answers with an outline of this replica's log.
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
	r.sendUpstream(History{Session: m.Session, Generation: r.generation, Committed: r.committed, Runs: r.history.runs()})
}

// checkSession reports whether a message belongs to the current session. A predecessor that uses a later session, whose
// Connect was lost, is asked for a new one.
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

// requestNewSession asks the upstream replica to replace a session that this replica cannot use.
func (r *Replica) requestNewSession(session Session) {
	r.sendUpstream(Attach{Session: session, Broken: true})
}
