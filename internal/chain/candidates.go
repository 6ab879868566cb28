package chain

import (
	"maps"
	"slices"

	"nickelline/internal/view"
)

// SetCandidates replaces what is known about the replicas. The caller must call it whenever the table of members
// changes. Of each candidate only Member, Reachable and Leaving are read. A member of the view that is not listed counts
// as reachable for unlistedGrace.
func (r *Reconfigurer) SetCandidates(candidates []view.Candidate) {
	r.mutex.Lock()
	r.candidates = slices.Clone(candidates)
	r.mutex.Unlock()
	notify(r.wake)
}

// nextViewCandidates returns the members of a view, the learners that may join it, and its other voters.
func (r *Reconfigurer) nextViewCandidates(v view.View) []view.Candidate {
	candidates := append(r.memberCandidates(v), r.learnerCandidates(v)...)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, voter := range v.Voters {
		if !slices.ContainsFunc(candidates, func(c view.Candidate) bool { return c.Replica == voter.Replica }) {
			candidates = append(candidates, r.memberCandidateLocked(v.Epoch, voter))
		}
	}
	return candidates
}

// memberCandidates returns what is known about the members of a view, except whether they are complete.
func (r *Reconfigurer) memberCandidates(v view.View) []view.Candidate {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	candidates := make([]view.Candidate, 0, len(v.Members))
	for _, member := range v.Members {
		candidates = append(candidates, r.memberCandidateLocked(v.Epoch, member))
	}
	return candidates
}

// memberCandidateLocked returns what is known about one member of the view of an epoch. The member has lost its disk if a reachable candidate has
// the member's address and another replica identity. The mutex is held.
func (r *Reconfigurer) memberCandidateLocked(epoch uint64, member view.Member) view.Candidate {
	if member.Replica == r.self().Replica {
		return view.Candidate{Member: member, Reachable: true, Leaving: r.leaving}
	}
	i := slices.IndexFunc(r.candidates, func(c view.Candidate) bool { return c.Replica == member.Replica })
	if i >= 0 {
		delete(r.unlisted, member.Replica)
		candidate := r.candidates[i]
		reachable := candidate.Reachable && !r.probes.unresponsive(r.now(), epoch, member.Replica)
		return view.Candidate{Member: member, Reachable: reachable, Leaving: candidate.Leaving}
	}
	replaced := slices.ContainsFunc(r.candidates, func(c view.Candidate) bool {
		return c.Address == member.Address && c.Replica != 0 && c.Reachable
	})
	since, before := r.unlisted[member.Replica]
	if !before {
		since = r.now()
		r.unlisted[member.Replica] = since
	}
	return view.Candidate{Member: member, Reachable: !replaced && r.now()-since < unlistedGrace, DiskLost: replaced}
}

// learnerCandidates returns the learners that have asked to join within joinRequestTTL, sorted by address.
func (r *Reconfigurer) learnerCandidates(v view.View) []view.Candidate {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var candidates []view.Candidate
	for _, request := range r.joins {
		if r.now()-request.at > joinRequestTTL || v.Has(request.member.Replica) || !r.reachableLocked(request.member.Replica) {
			continue
		}
		candidates = append(candidates, view.Candidate{Member: request.member, Reachable: true, CaughtUp: true})
	}
	slices.SortFunc(candidates, func(a, b view.Candidate) int { return a.Address.Compare(b.Address) })
	return candidates
}

// reachableLocked reports whether a learner may join: it is not known to be unreachable or leaving. The mutex is held.
func (r *Reconfigurer) reachableLocked(replica view.ReplicaID) bool {
	i := slices.IndexFunc(r.candidates, func(c view.Candidate) bool { return c.Replica == replica })
	return i < 0 || (r.candidates[i].Reachable && !r.candidates[i].Leaving)
}

// recordJoinRequest records that a learner has caught up and asks to join. The request expires after joinRequestTTL.
func (r *Reconfigurer) recordJoinRequest(member view.Member) {
	r.mutex.Lock()
	now := r.now()
	maps.DeleteFunc(r.joins, func(_ view.ReplicaID, request joinRequest) bool { return now-request.at > joinRequestTTL })
	r.joins[member.Replica] = joinRequest{member: member, at: now}
	r.mutex.Unlock()
	notify(r.wake)
}
