package view

import "slices"

// remainingMembers returns the members that the next view keeps.
//
// If at least MinimumMembers of the reachable members that are not leaving are complete, the members that are reachable and
// not leaving are kept and all others are dropped: after the loss of up to MinimumMembers - 1 further disks there is still a
// member with everything that was committed. Otherwise the leaving members are kept too. If the complete members are still
// too few, unreachable members that still have their disks are retained at the tail, where they do not keep the others from
// becoming complete. Nothing is committed until the retained members are dropped or reachable again.
func remainingMembers(current View, candidates []Candidate, policy Policy) (members, retained []Member) {
	serving := chainOrder(current, candidates, func(c Candidate) bool { return c.Reachable && !c.Leaving })
	if countComplete(serving, candidates) >= policy.MinimumMembers {
		return serving, nil
	}
	reachable := chainOrder(current, candidates, func(c Candidate) bool { return c.Reachable })
	if countComplete(reachable, candidates) >= policy.MinimumMembers {
		return reachable, nil
	}
	for _, member := range current.Members {
		candidate, _ := findCandidate(candidates, member.Replica)
		if !candidate.DiskLost && !hasReplica(reachable, member.Replica) {
			retained = append(retained, member)
		}
	}
	return reachable, retained
}

// chainOrder returns the members whose candidates are included, complete ones first, otherwise in the order of the view.
func chainOrder(current View, candidates []Candidate, include func(Candidate) bool) []Member {
	var complete, incomplete []Member
	for _, member := range current.Members {
		candidate, known := findCandidate(candidates, member.Replica)
		switch {
		case !known || !include(candidate):
		case candidate.Complete:
			complete = append(complete, member)
		default:
			incomplete = append(incomplete, member)
		}
	}
	return slices.Concat(complete, incomplete)
}

func countComplete(members []Member, candidates []Candidate) int {
	count := 0
	for _, member := range members {
		if candidate, known := findCandidate(candidates, member.Replica); known && candidate.Complete {
			count++
		}
	}
	return count
}
