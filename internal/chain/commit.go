package chain

// commit hands out the entries up to a sequence for applying. Its callers decide what is committed: advanceHead at the
// head, commitReceived elsewhere.
func (r *Replica) commit(sequence uint64) {
	if sequence <= r.committed {
		return
	}
	entries := r.history.between(r.committed, sequence)
	r.out.Apply = append(r.out.Apply, ApplyOperation{Entries: entries})
	for _, entry := range entries {
		delete(r.head.appended, entry.Sequence)
	}
	r.committed = sequence
}

// trimHistory drops committed entries from memory once the history exceeds limits.retained by a quarter. A receiver that
// lacks a dropped entry is sent a snapshot.
func (r *Replica) trimHistory() {
	if r.history.bytes() > r.limits.retained+r.limits.retained/4 {
		r.history.trim(r.trimPoint())
	}
}

// trimPoint returns the sequence up to which entries may be dropped. It keeps limits.retained bytes of the newest
// committed entries, and those that a receiver still needs as long as they come to at most limits.retainedForLagging.
func (r *Replica) trimPoint() uint64 {
	end := r.history.bytesUpTo(r.committed)
	point := r.history.firstWithin(r.committed, r.limits.retained)
	lowest := point
	for _, l := range r.links() {
		lowest = min(lowest, max(l.neededAfter(), r.history.base.Sequence))
	}
	if end-r.history.bytesUpTo(lowest) <= r.limits.retainedForLagging {
		return lowest
	}
	return point
}
