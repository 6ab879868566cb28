package view

import "slices"

// ToleratedLosses returns how many of the running replicas may fail and lose their disks while the remaining ones still
// form a majority of the voters and include a member with everything that was committed.
func (v View) ToleratedLosses(isRunning func(ReplicaID) bool) int {
	spareVoters := countRunning(v.Electorate(), isRunning) - v.Majority()
	spareMembers := countRunning(v.Members, isRunning) - 1
	return max(0, min(spareVoters, spareMembers))
}

func countRunning(members []Member, isRunning func(ReplicaID) bool) int {
	count := 0
	for _, member := range members {
		if isRunning(member.Replica) {
			count++
		}
	}
	return count
}

// electorate returns the voters of a view with the given members: the members themselves, and voters of the current view
// until there are size voters. A replica thus never loses its vote merely because it is unreachable: only a member that
// replaces it in the chain, or at its address, replaces it as a voter. Former voters that are likely to answer are preferred.
func electorate(members []Member, current View, candidates []Candidate, size int) []Member {
	voters := slices.Clone(members)
	for _, former := range formerVoters(members, current, candidates) {
		if len(voters) >= size {
			break
		}
		voters = append(voters, former)
	}
	return voters
}

// formerVoters returns the voters of the current view that are not among the members of the next one, the most reliable ones
// first. A voter whose address now belongs to a member has lost its disk and is left out.
func formerVoters(members []Member, current View, candidates []Candidate) []Member {
	former := slices.DeleteFunc(slices.Clone(current.Electorate()), func(voter Member) bool {
		return slices.ContainsFunc(members, func(m Member) bool { return m.Replica == voter.Replica || m.Address == voter.Address })
	})
	slices.SortStableFunc(former, func(a, b Member) int { return reliability(b, candidates) - reliability(a, candidates) })
	return former
}

// Ranks of voters by how likely they are to answer.
const (
	unreliable = iota
	unreachable
	reachable
)

// reliability returns the rank of a voter.
func reliability(voter Member, candidates []Candidate) int {
	candidate, known := findCandidate(candidates, voter.Replica)
	switch {
	case !known || candidate.Leaving || candidate.DiskLost:
		return unreliable
	case !candidate.Reachable:
		return unreachable
	}
	return reachable
}

// addsVoter reports whether any of the members has no vote in the current view.
func addsVoter(members []Member, current View) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return !current.HasVoter(m.Replica) })
}
