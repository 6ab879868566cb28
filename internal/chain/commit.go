package chain

// commit has the entries up to a sequence applied.
func (r *Replica) commit(sequence uint64) {
	if sequence <= r.committed {
		return
	}
	entries := r.history.between(r.committed, sequence)
	r.out.Apply = append(r.out.Apply, ApplyOperation{Entries: entries})
	for _, entry := range entries {
		delete(r.head.proposals, entry.Sequence)
	}
	r.committed = sequence
}

// trimHistory drops committed entries from memory once they are more than the bound by a quarter. A receiver that lacks
// one of them is fed with a snapshot.
func (r *Replica) trimHistory() {
	if r.history.bytes() > r.limits.retained+r.limits.retained/4 {
		r.history.trim(r.trimPoint())
	}
}

// trimPoint spares the newest committed entries, and those that a receiver lacks, if that is not too much.
func (r *Replica) trimPoint() uint64 {
	end := r.history.bytesUpTo(r.committed)
	point := r.history.firstWithin(r.committed, r.limits.retained)
	lowest := point
	for _, l := range r.links() {
		lowest = min(lowest, max(l.neededAfter(), r.history.base.Sequence))
	}
	if end-r.history.bytesUpTo(lowest) <= r.limits.lagging {
		return lowest
	}
	return point
}
