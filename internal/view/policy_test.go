package view

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
)

var testPolicy = Policy{MinimumMembers: 2, MaximumMembers: 3}

func testMember(i int) Member {
	return Member{
		Replica: ReplicaID(i),
		Name:    fmt.Sprint(i),
		Zone:    fmt.Sprintf("zone-%d", i%3),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7660),
		Joined:  1,
	}
}

// testView has members 1, 2 and 3 in epoch 4.
func testView() View {
	return View{Epoch: 4, Members: []Member{testMember(1), testMember(2), testMember(3)}}
}

// healthy gives a candidate for each member of a view, all of them reachable and complete.
func healthy(v View) []Candidate {
	var candidates []Candidate
	for _, member := range v.Members {
		candidates = append(candidates, Candidate{Member: member, Reachable: true, Complete: true})
	}
	return candidates
}

func learner(i int) Candidate {
	return Candidate{Member: testMember(i), Reachable: true, CaughtUp: true}
}

func replicas(v View) []int {
	var numbers []int
	for _, member := range v.Members {
		numbers = append(numbers, int(member.Replica))
	}
	return numbers
}

func TestNext(t *testing.T) {
	cases := []struct {
		name   string
		change func(candidates []Candidate) []Candidate
		want   []int // nil: the view stays
	}{
		{"all are well", func(c []Candidate) []Candidate { return c }, nil},
		{"the head is gone", func(c []Candidate) []Candidate { c[0].Reachable = false; return c }, []int{2, 3}},
		{"a member is not known any more", func(c []Candidate) []Candidate { return c[:2] }, []int{1, 2}},
		{"too few would remain", func(c []Candidate) []Candidate { c[0].Reachable, c[1].Reachable = false, false; return c }, nil},
		{"an incomplete one may not be head, and one copy is not enough to drop another", func(c []Candidate) []Candidate {
			c[0].Reachable, c[1].Complete = false, false
			return c
		}, []int{3, 2, 1}},
		{"none that is complete remains", func(c []Candidate) []Candidate {
			c[0].Reachable, c[1].Complete, c[2].Complete = false, false, false
			return c
		}, nil},
		{"there is no room for a learner", func(c []Candidate) []Candidate { return append(c, learner(4)) }, nil},
		{"a learner takes a place", func(c []Candidate) []Candidate { c[1].Reachable = false; return append(c, learner(4)) }, []int{1, 3, 4}},
		{"a learner that has not caught up does not", func(c []Candidate) []Candidate {
			c[1].Reachable = false
			late := learner(4)
			late.CaughtUp = false
			return append(c, late)
		}, []int{1, 3}},
		{"the learner from a zone without members is preferred", func(c []Candidate) []Candidate {
			c[1].Reachable = false
			return append(c, learner(4), learner(5))
		}, []int{1, 3, 5}},
		{"a leaving member goes", func(c []Candidate) []Candidate { c[0].Leaving = true; return c }, []int{2, 3}},
		{"a leaving member stays while too few remain", func(c []Candidate) []Candidate {
			c[0].Leaving, c[1].Reachable = true, false
			return c
		}, []int{1, 3}},
		{"a leaving member stays until a learner that joins is complete", func(c []Candidate) []Candidate {
			c[0].Leaving, c[1].Reachable = true, false
			return append(c, learner(4))
		}, []int{1, 3, 4}},
		{"a leaving member goes once enough others are complete", func(c []Candidate) []Candidate {
			c[0].Leaving = true
			return append(c, learner(4))
		}, []int{2, 3, 4}},
		{"a member whose disk is lost is not held", func(c []Candidate) []Candidate {
			c[0].Reachable, c[0].DiskLost, c[1].Complete = false, true, false
			return c
		}, []int{3, 2}},
		{"a learner joins before those that are held", func(c []Candidate) []Candidate {
			c[1].Reachable, c[2].Complete = false, false
			return append(c, learner(4))
		}, []int{1, 3, 2}},
	}
	for _, c := range cases {
		next, ok := Next(testView(), c.change(healthy(testView())), testPolicy)
		if got := replicas(next); !slices.Equal(got, c.want) || ok != (c.want != nil) {
			t.Errorf("%s: next view is %v, want %v", c.name, got, c.want)
		}
		if ok && next.Epoch != 5 {
			t.Errorf("%s: epoch is %d, want 5", c.name, next.Epoch)
		}
	}
}

func TestNextKeepsTheEpochOfJoining(t *testing.T) {
	candidates := healthy(testView())
	candidates[1].Reachable = false
	next, ok := Next(testView(), append(candidates, learner(4)), testPolicy)
	if !ok {
		t.Fatal("no next view")
	}
	for _, member := range next.Members {
		want := uint64(1)
		if member.Replica == 4 {
			want = 5
		}
		if member.Joined != want {
			t.Errorf("replica %d joined in %d, want %d", member.Replica, member.Joined, want)
		}
	}
}

func TestNeighbours(t *testing.T) {
	v := testView()
	if successor, ok := v.Successor(1); !ok || successor.Replica != 2 {
		t.Errorf("successor of the head is %v", successor)
	}
	if predecessor, ok := v.Predecessor(3); !ok || predecessor.Replica != 2 {
		t.Errorf("predecessor of the tail is %v", predecessor)
	}
	if _, ok := v.Successor(3); ok {
		t.Error("the tail has a successor")
	}
	if _, ok := v.Predecessor(1); ok {
		t.Error("the head has a predecessor")
	}
	if _, ok := v.Successor(9); ok {
		t.Error("a replica that is no member has a successor")
	}
}

// testPolicyWithVoters is that of a chain that agrees on its views itself and bears the loss of one disk.
var testPolicyWithVoters = Policy{MinimumMembers: 2, MaximumMembers: 3, Voters: 3}

func voterNumbers(v View) []int { return replicas(View{Members: v.Voters}) }

func mustNext(t *testing.T, current View, candidates []Candidate, policy Policy) View {
	t.Helper()
	next, ok := Next(current, candidates, policy)
	if !ok {
		t.Fatalf("no view follows %v", replicas(current))
	}
	return next
}

func expect(t *testing.T, v View, members, voters []int) {
	t.Helper()
	if got := replicas(v); !slices.Equal(got, members) {
		t.Errorf("members are %v, want %v", got, members)
	}
	if got := voterNumbers(v); !slices.Equal(got, voters) {
		t.Errorf("voters are %v, want %v", got, voters)
	}
}

func TestDroppedMemberKeepsItsVote(t *testing.T) {
	candidates := healthy(testView())
	candidates[2].Reachable = false
	next := mustNext(t, testView(), candidates, testPolicyWithVoters)
	expect(t, next, []int{1, 2}, []int{1, 2, 3})
	if next.Majority() != 2 || !next.HasVoter(3) {
		t.Errorf("electorate is %v", next.Electorate())
	}
}

func TestSubstituteTakesTheVote(t *testing.T) {
	candidates := healthy(testView())
	candidates[2].Reachable = false
	next := mustNext(t, testView(), append(candidates, learner(4)), testPolicyWithVoters)
	expect(t, next, []int{1, 2, 4}, []int{1, 2, 4})
}

func TestReplicaThatLostItsDiskTakesTheVoteOfItsAddress(t *testing.T) {
	current := testView()
	current.Members = current.Members[:2]
	current.Voters = []Member{testMember(1), testMember(2), testMember(3), testMember(5)}
	wiped := learner(4)
	wiped.Address = testMember(3).Address
	policy := Policy{MinimumMembers: 2, MaximumMembers: 5, Voters: 5}
	next := mustNext(t, current, append(healthy(current), wiped), policy)
	expect(t, next, []int{1, 2, 4}, []int{1, 2, 4, 5})
}

func TestOneReplicaBecomesVoterAtATime(t *testing.T) {
	policy := Policy{MinimumMembers: 3, MaximumMembers: 5, Voters: 5}
	first := testView()
	next := mustNext(t, first, append(healthy(first), learner(4), learner(5)), policy)
	if len(next.Members) != 4 || len(next.Voters) != 4 {
		t.Fatalf("view has members %v and voters %v", replicas(next), voterNumbers(next))
	}
	next = mustNext(t, next, append(healthy(next), learner(4), learner(5)), policy)
	if len(next.Members) != 5 || len(next.Voters) != 5 {
		t.Fatalf("view has members %v and voters %v", replicas(next), voterNumbers(next))
	}
}

// Members that come back join together, as they have their votes.
func TestFormerMembersRejoinTogether(t *testing.T) {
	policy := Policy{MinimumMembers: 3, MaximumMembers: 5, Voters: 5}
	current := testView()
	current.Voters = []Member{testMember(1), testMember(2), testMember(3), testMember(4), testMember(5)}
	next := mustNext(t, current, append(healthy(current), learner(4), learner(5)), policy)
	expect(t, next, []int{1, 2, 3, 4, 5}, []int{1, 2, 3, 4, 5})
}

// The voters that are most likely to answer are kept where there are more than wanted.
func TestReliableVotersAreKept(t *testing.T) {
	policy := Policy{MinimumMembers: 2, MaximumMembers: 4, Voters: 4}
	current := testView()
	current.Voters = []Member{testMember(1), testMember(2), testMember(3), testMember(6), testMember(7)}
	candidates := healthy(current)
	candidates[0].Reachable = false
	candidates = append(candidates, Candidate{Member: testMember(7), Reachable: true}, Candidate{Member: testMember(6)})
	next := mustNext(t, current, candidates, policy)
	expect(t, next, []int{2, 3}, []int{2, 3, 7, 1})
}

func TestLossesBorne(t *testing.T) {
	v := testView()
	v.Members = v.Members[:2]
	v.Voters = []Member{testMember(1), testMember(2), testMember(3), testMember(4), testMember(5)}
	for _, c := range []struct {
		running []ReplicaID
		want    int
	}{
		{[]ReplicaID{1, 2, 3, 4, 5}, 1}, // one member has to be left
		{[]ReplicaID{1, 2, 3, 4}, 1},
		{[]ReplicaID{1, 2, 3}, 0}, // all are needed as voters
		{[]ReplicaID{1, 3, 4, 5}, 0},
		{[]ReplicaID{4, 5}, 0},
	} {
		got := v.LossesBorne(func(replica ReplicaID) bool { return slices.Contains(c.running, replica) })
		if got != c.want {
			t.Errorf("with %v running %d losses are borne, want %d", c.running, got, c.want)
		}
	}
}

// A replica that lost its disk answers as another one before membership tells so: the view names only one of the two.
func TestViewNamesNoAddressTwice(t *testing.T) {
	current := testView()
	wiped := testMember(4)
	wiped.Address = testMember(3).Address
	candidates := append(healthy(current), Candidate{Member: wiped, Reachable: true, CaughtUp: true})
	var answers []Promise
	for _, sender := range []Member{testMember(1), testMember(2), wiped} {
		answers = append(answers, Promise{Sender: sender, Complete: sender.Replica == 1})
	}
	next := mustNext(t, current, Confirm(candidates, answers), testPolicyWithVoters)
	expect(t, next, []int{1, 2, 4}, []int{1, 2, 4})
}

// A view that an earlier version of the program decided names no voters: its members vote.
func TestViewWithoutVoters(t *testing.T) {
	if v := testView(); !v.HasVoter(2) || v.HasVoter(4) || v.Majority() != 2 {
		t.Errorf("electorate is %v", v.Electorate())
	}
}
