package view

import "slices"

// LossesBorne gives how many of the replicas that run may be lost now, with their disks, so that those that are left are a
// majority of the voters with a member that has all that was committed.
func (v View) LossesBorne(runs func(ReplicaID) bool) int {
	return max(0, min(countRunning(v.Electorate(), runs)-v.Majority(), countRunning(v.Members, runs)-1))
}

func countRunning(members []Member, runs func(ReplicaID) bool) int {
	count := 0
	for _, member := range members {
		if runs(member.Replica) {
			count++
		}
	}
	return count
}

// electorate gives the voters of a view with certain members: the members, and beside them those that voted before, up to a
// number. So no replica loses its vote because it cannot be reached: only a member that takes its place in the chain, or its
// address, replaces it as a voter. Those that are likely to answer are kept before others.
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

// formerVoters gives the voters of a view that are not among the members of the next one, the most reliable ones first. One
// whose address belongs to a member now has lost its disk.
func formerVoters(members []Member, current View, candidates []Candidate) []Member {
	former := slices.DeleteFunc(slices.Clone(current.Electorate()), func(voter Member) bool {
		return slices.ContainsFunc(members, func(m Member) bool { return m.Replica == voter.Replica || m.Address == voter.Address })
	})
	slices.SortStableFunc(former, func(a, b Member) int { return reliability(b, candidates) - reliability(a, candidates) })
	return former
}

// reliability ranks a voter by what is known of it.
func reliability(voter Member, candidates []Candidate) int {
	candidate, known := find(candidates, voter.Replica)
	switch {
	case !known || candidate.Leaving || candidate.DiskLost:
		return 0
	case !candidate.Reachable:
		return 1
	}
	return 2
}

// addsVoter tells whether members beside those of a view include one without a vote in it.
func addsVoter(members []Member, current View) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return !current.HasVoter(m.Replica) })
}
