package chain

// complete reports whether the replica has every entry that was ever committed. Only a complete replica may be head or
// send to others.
func (r *Replica) complete() bool {
	member, ok := r.view.Member(r.self.Replica)
	return ok && r.completeEpoch >= member.Joined
}

// recordCompleteness writes a record to disk once the replica has synced what its predecessor had when their session
// began. The replica is complete once the record is on disk.
func (r *Replica) recordCompleteness() {
	if r.complete() || r.submittedCompleteEpoch == r.view.Epoch || !r.view.Has(r.self.Replica) {
		return
	}
	if !r.upstream.started || r.synced < r.upstream.target {
		return
	}
	r.submittedCompleteEpoch = r.view.Epoch
	r.write(DiskOperation{Record: r.record(r.newestView())}, 0)
}

// caughtUp reports whether a learner has what its source was last known to have committed.
func (r *Replica) caughtUp() bool {
	return r.upstream.started && !r.view.Has(r.self.Replica) && r.synced >= r.upstream.committed
}
