package view

import "slices"

// Candidate describes the known state of a replica that may be a member of the next view.
type Candidate struct {
	Member
	// Reachable is false for a replica that failure detection reports as failed.
	Reachable bool
	// Complete is set if the replica has everything that was committed (chain.Status.Complete). Only a complete replica may
	// be the head. Complete matters only for members of the current view.
	Complete bool
	// CaughtUp is set if a replica that is not a member follows the chain closely enough to be appended.
	CaughtUp bool
	// Leaving is set for a replica that is about to shut down. It is dropped if enough complete members remain.
	Leaving bool
	// DiskLost is set for a replica whose address now belongs to another replica. Its data is already gone, so dropping it
	// loses nothing.
	DiskLost bool
}

// Policy bounds the views that Next returns.
type Policy struct {
	// MinimumMembers is the smallest number of members of a view, and the number of complete members that have to remain for
	// another member to be dropped.
	MinimumMembers int
	// MaximumMembers is the number of members up to which learners are appended.
	MaximumMembers int
	// Voters is the largest number of voters of a view, at least MaximumMembers. It is 0 for chains whose replicas do not
	// decide their own views: these views name no voters.
	Voters int
}

// Next derives the view that should follow the current one. Members that are unreachable or leaving are dropped if enough
// complete members remain. The others keep their order, but complete members come first. Learners that have caught up are
// appended at the tail, those from zones with fewer members first. At most one replica becomes a voter. Next reports false if
// the current view should stay.
func Next(current View, candidates []Candidate, policy Policy) (View, bool) {
	members, retained := remainingMembers(current, candidates, policy)
	members = appendLearners(members, current, candidates, policy, policy.MaximumMembers-len(retained))
	if len(retained) > 0 && countComplete(members, candidates) == len(members) {
		return View{}, false // there is no incomplete member that could become complete
	}
	members = append(members, retained...)
	if len(members) < policy.MinimumMembers || !hasCompleteHead(members, candidates) || slices.Equal(members, current.Members) {
		return View{}, false
	}
	next := View{Chain: current.Chain, Epoch: current.Epoch + 1, Members: members}
	if policy.Voters > 0 {
		next.Voters = electorate(members, current, candidates, policy.Voters)
	}
	return next, true
}

// First derives the first view of a chain from the promises of its seeds. Its members all vote on the second view. First
// reports false if fewer than MinimumMembers seeds have promised.
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

// UpdateCandidates returns the candidates, updated with the answers to a Prepare. A candidate stays reachable only if it
// answered, and is complete only if its answer says so. It is also leaving if its answer says so, and its disk is also lost if
// another replica answered at its address. A view thus never relies on a replica whose failure has not been detected yet, and
// never names two replicas with one address.
func UpdateCandidates(candidates []Candidate, answers []Promise) []Candidate {
	confirmed := slices.Clone(candidates)
	for i := range confirmed {
		candidate := &confirmed[i]
		answer, answered := answerOf(candidate.Replica, answers)
		candidate.Reachable = candidate.Reachable && answered
		candidate.Complete = answer.Complete
		candidate.Leaving = candidate.Leaving || answer.Leaving
		candidate.DiskLost = candidate.DiskLost || isReplaced(candidate.Member, answers)
	}
	return confirmed
}

// answerOf returns the first answer of a replica, and whether there is one.
func answerOf(replica ReplicaID, answers []Promise) (answer Promise, found bool) {
	i := slices.IndexFunc(answers, func(p Promise) bool { return p.Sender.Replica == replica })
	if i < 0 {
		return Promise{}, false
	}
	return answers[i], true
}

// isReplaced reports whether another replica answered at the address of a member.
func isReplaced(member Member, answers []Promise) bool {
	return slices.ContainsFunc(answers, func(p Promise) bool {
		return p.Sender.Address == member.Address && p.Sender.Replica != member.Replica
	})
}

func hasCompleteHead(members []Member, candidates []Candidate) bool {
	if len(members) == 0 {
		return false
	}
	candidate, known := findCandidate(candidates, members[0].Replica)
	return known && candidate.Complete
}

func findCandidate(candidates []Candidate, replica ReplicaID) (Candidate, bool) {
	i := slices.IndexFunc(candidates, func(c Candidate) bool { return c.Replica == replica })
	if i < 0 {
		return Candidate{}, false
	}
	return candidates[i], true
}
