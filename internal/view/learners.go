package view

// appendLearners appends learners until there are size members. If views have voters, it appends a learner without a vote in
// the current view only if all members so far have one, so that at most one replica becomes a voter.
func appendLearners(members []Member, current View, candidates []Candidate, policy Policy, size int) []Member {
	for len(members) < size {
		onlyVoters := policy.Voters > 0 && addsVoter(members, current)
		learner, ok := bestLearner(members, current, candidates, onlyVoters)
		if !ok {
			return members
		}
		learner.Joined = current.Epoch + 1
		members = append(members, learner)
	}
	return members
}

// bestLearner returns the learner from the zone with the fewest members, and the first such candidate if there are several.
func bestLearner(members []Member, current View, candidates []Candidate, onlyVoters bool) (Member, bool) {
	var best Member
	fewest := -1
	for _, candidate := range candidates {
		if !canJoin(current, candidate) || hasReplica(members, candidate.Replica) {
			continue
		}
		if onlyVoters && !current.HasVoter(candidate.Replica) {
			continue
		}
		if count := countInZone(members, candidate.Zone); fewest < 0 || count < fewest {
			best, fewest = candidate.Member, count
		}
	}
	return best, fewest >= 0
}

// canJoin reports whether a candidate may be appended to the current view as a learner.
func canJoin(current View, candidate Candidate) bool {
	return candidate.Replica != 0 && candidate.Reachable && candidate.CaughtUp && !candidate.Leaving && !current.Has(candidate.Replica)
}

func countInZone(members []Member, zone string) int {
	count := 0
	for _, member := range members {
		if member.Zone == zone {
			count++
		}
	}
	return count
}
