package view

import "slices"

// Candidate is what is known of a replica that may be a member of the next view.
type Candidate struct {
	Member
	// Reachable is false for a replica that failure detection holds for dead.
	Reachable bool
	// Complete tells that the replica has all that was committed (chain.Status.Complete): only such a replica may be
	// the head. It is looked at only for members of the current view.
	Complete bool
	// CaughtUp tells that a replica outside of the view follows the chain closely enough to be appended.
	CaughtUp bool
	// Leaving is set for a replica that is about to end: it is taken out if enough remain.
	Leaving bool
	// DiskLost is set for a replica whose address belongs to another one: what it had is gone, so nothing is lost by dropping it.
	DiskLost bool
}

// Confirm takes those candidates for reachable only that answered a proposer, members for complete only that said so, those for
// leaving that said so as well, and the disks of those for lost at whose addresses other replicas answered. So a view never
// counts on a replica that is gone without that being noticed yet, and never names two with one address.
func Confirm(candidates []Candidate, answers []Promise) []Candidate {
	confirmed := slices.Clone(candidates)
	for i := range confirmed {
		candidate := &confirmed[i]
		at := slices.IndexFunc(answers, func(p Promise) bool { return p.Sender.Replica == candidate.Replica })
		candidate.Reachable = candidate.Reachable && at >= 0
		candidate.Complete = at >= 0 && answers[at].Complete
		candidate.Leaving = candidate.Leaving || (at >= 0 && answers[at].Leaving)
		candidate.DiskLost = candidate.DiskLost || slices.ContainsFunc(answers, func(p Promise) bool {
			return p.Sender.Address == candidate.Address && p.Sender.Replica != candidate.Replica
		})
	}
	return confirmed
}

// Policy bounds the views that Next gives.
type Policy struct {
	// MinimumMembers is the size below which a view is not shrunk, and the number of complete members that have to remain
	// before another one is dropped.
	MinimumMembers int
	// MaximumMembers is the size up to which learners are appended.
	MaximumMembers int
	// Voters is the size up to which views have voters, at least MaximumMembers. 0: the replicas do not agree on their views
	// themselves, and views name no voters.
	Voters int
}

// Next derives the view that should follow: members that are unreachable or leaving are dropped if enough complete ones
// remain, the others keep their order with complete ones first, and learners that have caught up are appended at the tail,
// those from zones that have fewer members first. At most one replica becomes a voter. It reports false if the current view
// should stay.
func Next(current View, candidates []Candidate, policy Policy) (View, bool) {
	members, held := remaining(current, candidates, policy)
	members = extend(members, current, candidates, policy, policy.MaximumMembers-len(held))
	if len(held) > 0 && completeCount(members, candidates) == len(members) {
		return View{}, false // there is none that could become complete
	}
	members = append(members, held...)
	if len(members) < policy.MinimumMembers || !hasCompleteHead(members, candidates) || slices.Equal(members, current.Members) {
		return View{}, false
	}
	next := View{Chain: current.Chain, Epoch: current.Epoch + 1, Members: members}
	if policy.Voters > 0 {
		next.Voters = electorate(members, current, candidates, policy.Voters)
	}
	return next, true
}

// First derives the first view of a chain from the promises of its seeds, all of which vote on the second one.
func First(chain uint32, promises []Promise, policy Policy) (View, bool) {
	first := View{Chain: chain, Epoch: 1}
	for _, promise := range promises {
		if !promise.Votes || len(first.Members) == policy.MaximumMembers {
			continue
		}
		member := promise.Sender
		member.Joined = 1
		first.Members = append(first.Members, member)
	}
	if policy.Voters > 0 {
		first.Voters = slices.Clone(first.Members)
	}
	return first, len(first.Members) >= policy.MinimumMembers
}

// remaining gives the members that stay. Those that are reachable and not leaving do, and are all if enough of them are
// complete: the loss of further disks, up to MinimumMembers - 1, leaves one that has all that was committed. Otherwise the
// leaving ones stay too, and if these are not enough either, those that cannot be reached but have their disks are held: at the
// tail, where they do not keep the others from becoming complete. Nothing is committed without them until they are dropped, or
// are back.
func remaining(current View, candidates []Candidate, policy Policy) (members, held []Member) {
	serving := chainOrder(current, candidates, func(c Candidate) bool { return c.Reachable && !c.Leaving })
	if completeCount(serving, candidates) >= policy.MinimumMembers {
		return serving, nil
	}
	reachable := chainOrder(current, candidates, func(c Candidate) bool { return c.Reachable })
	if completeCount(reachable, candidates) >= policy.MinimumMembers {
		return reachable, nil
	}
	for _, member := range current.Members {
		candidate, _ := find(candidates, member.Replica)
		if !candidate.DiskLost && !hasReplica(reachable, member.Replica) {
			held = append(held, member)
		}
	}
	return reachable, held
}

// chainOrder gives the members that are as wanted in the order of the view, complete ones first.
func chainOrder(current View, candidates []Candidate, wanted func(Candidate) bool) []Member {
	var complete, incomplete []Member
	for _, member := range current.Members {
		candidate, known := find(candidates, member.Replica)
		switch {
		case !known || !wanted(candidate):
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
		if candidate, known := find(candidates, member.Replica); known && candidate.Complete {
			count++
		}
	}
	return count
}

// extend appends learners up to a size, only one of them without a vote.
func extend(members []Member, current View, candidates []Candidate, policy Policy, size int) []Member {
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

// bestLearner prefers zones with few members, then the order of the candidates.
func bestLearner(members []Member, current View, candidates []Candidate, onlyVoters bool) (Member, bool) {
	var best Member
	fewest := -1
	for _, candidate := range candidates {
		if !mayJoin(current, candidate) || hasReplica(members, candidate.Replica) {
			continue
		}
		if onlyVoters && !current.HasVoter(candidate.Replica) {
			continue
		}
		if count := inZone(members, candidate.Zone); fewest < 0 || count < fewest {
			best, fewest = candidate.Member, count
		}
	}
	return best, fewest >= 0
}

func mayJoin(current View, candidate Candidate) bool {
	return candidate.Replica != 0 && candidate.Reachable && candidate.CaughtUp && !candidate.Leaving && !current.Has(candidate.Replica)
}

func inZone(members []Member, zone string) int {
	count := 0
	for _, member := range members {
		if member.Zone == zone {
			count++
		}
	}
	return count
}

func hasCompleteHead(members []Member, candidates []Candidate) bool {
	if len(members) == 0 {
		return false
	}
	candidate, known := find(candidates, members[0].Replica)
	return known && candidate.Complete
}

func find(candidates []Candidate, replica ReplicaID) (Candidate, bool) {
	i := slices.IndexFunc(candidates, func(c Candidate) bool { return c.Replica == replica })
	if i < 0 {
		return Candidate{}, false
	}
	return candidates[i], true
}
