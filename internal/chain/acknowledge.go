package chain

// acknowledge reports the progress of this replica and all after it to the upstream replica, if the progress has
// changed. A member whose completeness is not recorded on its disk acknowledges no entries as synced: what is committed
// in a view is on the disks of all its members, and each of them must then be able to become the head of the next view,
// which only a complete member can.
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
		m.Synced, m.Ready = r.syncedToTail()
		m.Barrier = r.returnedBarrier()
	}
	if m == u.lastAck && !u.ackDue {
		return
	}
	u.lastAck = m
	u.ackDue = false
	r.sendUpstream(m)
}

// syncedToTail returns the sequence up to which this replica and all after it have the log on disk, and whether they
// are connected up to the tail. At the head this sequence decides what is committed.
func (r *Replica) syncedToTail() (synced uint64, ready bool) {
	if _, ok := r.view.Successor(r.self.Replica); !ok {
		return r.synced, true
	}
	if r.successor == nil || r.successor.state != linkStreaming {
		return 0, false
	}
	return min(r.synced, r.successor.syncedToTail), r.successor.ready
}

// returnedBarrier returns the newest barrier round that has been at the tail and come back to this replica.
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
