package chain

// runs returns the outline of the history, with which a replica answers Connect. The base counts as its first entry.
func (h *history) runs() []Run {
	runs := []Run{{Epoch: h.base.Epoch, First: h.base.Sequence, Last: h.base.Sequence}}
	for _, entry := range h.entries {
		current := &runs[len(runs)-1]
		if entry.Epoch == current.Epoch {
			current.Last = entry.Sequence
			continue
		}
		runs = append(runs, Run{Epoch: entry.Epoch, First: entry.Sequence, Last: entry.Sequence})
	}
	return runs
}

// lastCommonPosition returns the last position that two logs share, given their outlines, and whether there is one.
func lastCommonPosition(a, b []Run) (Position, bool) {
	var best Position
	found := false
	for _, mine := range a {
		for _, other := range b {
			if mine.Epoch != other.Epoch {
				continue
			}
			last := min(mine.Last, other.Last)
			if last >= max(mine.First, other.First) && (!found || last > best.Sequence) {
				best = Position{Epoch: mine.Epoch, Sequence: last}
				found = true
			}
		}
	}
	return best, found
}
