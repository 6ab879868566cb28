package view

import "slices"

// remainingMembers returns the members that the next view keeps.
//
// If MinimumMembers of the reachable members that are not leaving are complete, these members are kept and all others are
// dropped: the loss of up to MinimumMembers - 1 further disks leaves one with everything that was committed. Otherwise the
// leaving ones are kept too. If that is not enough either, unreachable members that still have their disks are retained at
// the tail, where they do not keep the others from becoming complete. Nothing is committed without the retained members until
// they are dropped, or are back.
func remainingMembers(current View, candidates []Candidate, policy Policy) (members, retained []Member) {
	serving := chainOrder(current, candidates, func(c Candidate) bool { return c.Reachable && !c.Leaving })
	if completeCount(serving, candidates) >= policy.MinimumMembers {
		return serving, nil
	}
	reachable := chainOrder(current, candidates, func(c Candidate) bool { return c.Reachable })
	if completeCount(reachable, candidates) >= policy.MinimumMembers {
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

// chainOrder returns the members whose candidates are included, in the order of the view but complete ones first.
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

func completeCount(members []Member, candidates []Candidate) int {
	count := 0
	for _, member := range members {
		if candidate, known := findCandidate(candidates, member.Replica); known && candidate.Complete {
			count++
		}
	}
	return count
}
