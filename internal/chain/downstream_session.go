package chain

import (
	"net/netip"
	"time"

	"nickelline/internal/view"
)

// connectSuccessor begins a session with the successor in the view, if this replica is complete.
func (r *Replica) connectSuccessor(now time.Duration) {
	successor, ok := r.view.Successor(r.self.Replica)
	if !ok || !r.complete() || r.successor != nil {
		return
	}
	r.successor = &link{to: successor}
	r.connect(now, r.successor)
}

// connect begins a new session. What the receiver acknowledged in an earlier one no longer counts.
func (r *Replica) connect(now time.Duration, l *link) {
	r.sessions++
	l.session = Session{Generation: r.generation, Number: r.sessions}
	l.state = linkConnecting
	l.ready = false
	l.stored = 0
	l.syncedToTail = 0
	l.snapshot = nil
	l.committedSent = 0
	l.barrierSent = 0
	r.sendOn(l, Connect{Session: l.session})
	l.deadline = now + retryInterval<<min(l.attempts, maxRetryDoublings)
}

// rewindLinks begins new sessions on the links on which entries after a sequence, now truncated, may have been sent.
func (r *Replica) rewindLinks(now time.Duration, sequence uint64) {
	for _, l := range r.links() {
		if l.state == linkStreaming && l.next <= sequence+1 {
			continue
		}
		r.connect(now, l)
	}
}

// receiveAttach connects to a replica that asks for a session, unless it has one already. A session that streams here is useless
// if the receiver is in another one; while the session is being set up, its deadline replaces it if need be. A replica that the
// view does not name becomes a learner.
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
	if broken || (m.Session == Session{}) || (l.state == linkStreaming && m.Session != l.session) {
		r.connect(now, l)
	}
}

// receiveHistory finds the last position that the receiver's log shares with the log of this replica, and streams from
// there. If there is none, the receiver needs a snapshot.
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
		r.reportViolation(sender, "replica %d has committed %d, and its log diverges after %d", sender, m.Committed, common.Sequence)
		return
	}
	r.start(now, l, common)
}

// start begins to stream entries after a position that both logs share.
func (r *Replica) start(now time.Duration, l *link, common Position) {
	l.state = linkStreaming
	l.next = common.Sequence + 1
	l.snapshot = nil
	target := r.history.last().Sequence
	if l.learner {
		target = r.committed
	}
	r.sendOn(l, Start{Session: l.session, Generation: l.generation, Match: common, Target: target})
	r.noteProgress(now, l)
}

// receiveAcknowledge handles a receiver's report of its progress.
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
	case linkConnecting, linkAwaitingSnapshot: // nothing to acknowledge was sent
	}
}

// flush sends what the window of a link permits.
func (r *Replica) flush(now time.Duration, l *link) {
	switch l.state {
	case linkSendingSnapshot:
		r.flushSnapshot(now, l)
	case linkStreaming:
		r.flushEntries(now, l)
	case linkConnecting, linkAwaitingSnapshot: // nothing can be sent yet
	}
}
