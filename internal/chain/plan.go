package chain

import (
	"slices"

	"nickelline/internal/view"
)

// planNextView derives the next view on the assumption that all members are complete, and reports whether one is needed.
func (r *Reconfigurer) planNextView(v view.View) (view.View, bool) {
	candidates := r.nextViewCandidates(v)
	for i := range candidates {
		candidates[i].Complete = v.Has(candidates[i].Replica)
	}
	return view.Next(v, candidates, r.options.Policy)
}

// rank returns how many members should propose before this one: those before it in the chain that are reachable and not
// leaving. It is 0 for a replica that is leaving itself.
func (r *Reconfigurer) rank(v view.View) int {
	if r.isLeaving() {
		return 0
	}
	rank := 0
	candidates := r.memberCandidates(v)
	for _, member := range v.Members {
		if member.Replica == r.self().Replica {
			return rank
		}
		if i := slices.IndexFunc(candidates, func(c view.Candidate) bool { return c.Replica == member.Replica }); i >= 0 {
			if candidates[i].Reachable && !candidates[i].Leaving {
				rank++
			}
		}
	}
	return rank
}
