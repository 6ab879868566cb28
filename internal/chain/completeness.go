package chain

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
