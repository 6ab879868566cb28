package view

import (
	"slices"
	"testing"
)

// testPolicyWithVoters is the policy of a chain whose replicas decide their own views and tolerate the loss of one disk.
var testPolicyWithVoters = Policy{MinimumMembers: 2, MaximumMembers: 3, Voters: 3}

func voterNumbers(v View) []int { return memberNumbers(View{Members: v.Voters}) }

func mustNext(t *testing.T, current View, candidates []Candidate, policy Policy) View {
	t.Helper()
	next, ok := Next(current, candidates, policy)
	if !ok {
		t.Fatalf("got no next view after members %v, want one", memberNumbers(current))
	}
	return next
}

func checkView(t *testing.T, v View, members, voters []int) {
	t.Helper()
	if got := memberNumbers(v); !slices.Equal(got, members) {
		t.Errorf("got members %v, want %v", got, members)
	}
	if got := voterNumbers(v); !slices.Equal(got, voters) {
		t.Errorf("got voters %v, want %v", got, voters)
	}
}

func TestDroppedMemberKeepsItsVote(t *testing.T) {
	candidates := healthy(testView())
	candidates[2].Reachable = false
	next := mustNext(t, testView(), candidates, testPolicyWithVoters)
	checkView(t, next, []int{1, 2}, []int{1, 2, 3})
	if next.Majority() != 2 || !next.HasVoter(3) {
		t.Errorf("got electorate %v, want a majority of 2 and replica 3 among the voters", next.Electorate())
	}
}

func TestReplacementTakesTheVote(t *testing.T) {
	candidates := healthy(testView())
	candidates[2].Reachable = false
	next := mustNext(t, testView(), append(candidates, learner(4)), testPolicyWithVoters)
	checkView(t, next, []int{1, 2, 4}, []int{1, 2, 4})
}

func TestReplicaThatLostItsDiskTakesTheVoteOfItsAddress(t *testing.T) {
	current := testView()
	current.Members = current.Members[:2]
	current.Voters = []Member{testMember(1), testMember(2), testMember(3), testMember(5)}
	wiped := learner(4)
	wiped.Address = testMember(3).Address
	policy := Policy{MinimumMembers: 2, MaximumMembers: 5, Voters: 5}
	next := mustNext(t, current, append(healthy(current), wiped), policy)
	checkView(t, next, []int{1, 2, 4}, []int{1, 2, 4, 5})
}

func TestOneReplicaBecomesVoterAtATime(t *testing.T) {
	policy := Policy{MinimumMembers: 3, MaximumMembers: 5, Voters: 5}
	first := testView()
	next := mustNext(t, first, append(healthy(first), learner(4), learner(5)), policy)
	if len(next.Members) != 4 || len(next.Voters) != 4 {
		t.Fatalf("got members %v and voters %v, want 4 of each", memberNumbers(next), voterNumbers(next))
	}
	next = mustNext(t, next, append(healthy(next), learner(4), learner(5)), policy)
	if len(next.Members) != 5 || len(next.Voters) != 5 {
		t.Fatalf("got members %v and voters %v, want 5 of each", memberNumbers(next), voterNumbers(next))
	}
}

// Several former members may rejoin in one view, because they still have their votes.
func TestFormerMembersRejoinTogether(t *testing.T) {
	policy := Policy{MinimumMembers: 3, MaximumMembers: 5, Voters: 5}
	current := testView()
	current.Voters = []Member{testMember(1), testMember(2), testMember(3), testMember(4), testMember(5)}
	next := mustNext(t, current, append(healthy(current), learner(4), learner(5)), policy)
	checkView(t, next, []int{1, 2, 3, 4, 5}, []int{1, 2, 3, 4, 5})
}

// If the members and the former voters exceed the size of the electorate, the voters most likely to answer are kept.
func TestReliableVotersAreKept(t *testing.T) {
	policy := Policy{MinimumMembers: 2, MaximumMembers: 4, Voters: 4}
	current := testView()
	current.Voters = []Member{testMember(1), testMember(2), testMember(3), testMember(6), testMember(7)}
	candidates := healthy(current)
	candidates[0].Reachable = false
	candidates = append(candidates, Candidate{Member: testMember(7), Reachable: true}, Candidate{Member: testMember(6)})
	next := mustNext(t, current, candidates, policy)
	checkView(t, next, []int{2, 3}, []int{2, 3, 7, 1})
}

func TestToleratedLosses(t *testing.T) {
	v := testView()
	v.Members = v.Members[:2]
	v.Voters = []Member{testMember(1), testMember(2), testMember(3), testMember(4), testMember(5)}
	for _, c := range []struct {
		running []ReplicaID
		want    int
	}{
		{[]ReplicaID{1, 2, 3, 4, 5}, 1}, // one member has to remain
		{[]ReplicaID{1, 2, 3, 4}, 1},
		{[]ReplicaID{1, 2, 3}, 0}, // all are needed as voters
		{[]ReplicaID{1, 3, 4, 5}, 0},
		{[]ReplicaID{4, 5}, 0},
	} {
		got := v.ToleratedLosses(func(replica ReplicaID) bool { return slices.Contains(c.running, replica) })
		if got != c.want {
			t.Errorf("replicas %v running: got %d tolerated losses, want %d", c.running, got, c.want)
		}
	}
}

// A replica that lost its disk answers under another identity before failure detection reports the loss. The view names only
// one of the two identities.
func TestViewNamesNoAddressTwice(t *testing.T) {
	current := testView()
	wiped := testMember(4)
	wiped.Address = testMember(3).Address
	candidates := append(healthy(current), Candidate{Member: wiped, Reachable: true, CaughtUp: true})
	var answers []Promise
	for _, sender := range []Member{testMember(1), testMember(2), wiped} {
		answers = append(answers, Promise{Sender: sender, Complete: sender.Replica == 1})
	}
	next := mustNext(t, current, UpdateCandidates(candidates, answers), testPolicyWithVoters)
	checkView(t, next, []int{1, 2, 4}, []int{1, 2, 4})
}
