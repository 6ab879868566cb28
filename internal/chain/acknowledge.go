package chain

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
