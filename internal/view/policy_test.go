package view

import (
	"slices"
	"testing"
)

var testPolicy = Policy{MinimumMembers: 2, MaximumMembers: 3}

// healthy returns a candidate for each member of a view, all of them reachable and complete.
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

// nextCases change healthy candidates of testView, whose members are 1, 2 and 3.
var nextCases = []struct {
	name   string
	change func(candidates []Candidate) []Candidate
	want   []int // nil if the view stays
}{
	{"all members are healthy", func(c []Candidate) []Candidate { return c }, nil},
	{"the head is unreachable", func(c []Candidate) []Candidate { c[0].Reachable = false; return c }, []int{2, 3}},
	{"a member is not known any more", func(c []Candidate) []Candidate { return c[:2] }, []int{1, 2}},
	{"too few would remain", func(c []Candidate) []Candidate { c[0].Reachable, c[1].Reachable = false, false; return c }, nil},
	{"an incomplete member cannot be head, and one complete member is not enough to drop another", func(c []Candidate) []Candidate {
		c[0].Reachable, c[1].Complete = false, false
		return c
	}, []int{3, 2, 1}},
	{"no complete member remains", func(c []Candidate) []Candidate {
		c[0].Reachable, c[1].Complete, c[2].Complete = false, false, false
		return c
	}, nil},
	{"there is no room for a learner", func(c []Candidate) []Candidate { return append(c, learner(4)) }, nil},
	{"a learner replaces an unreachable member", func(c []Candidate) []Candidate { c[1].Reachable = false; return append(c, learner(4)) }, []int{1, 3, 4}},
	{"a learner that has not caught up is not appended", func(c []Candidate) []Candidate {
		c[1].Reachable = false
		late := learner(4)
		late.CaughtUp = false
		return append(c, late)
	}, []int{1, 3}},
	{"the learner from a zone without members is preferred", func(c []Candidate) []Candidate {
		c[1].Reachable = false
		return append(c, learner(4), learner(5))
	}, []int{1, 3, 5}},
	{"a leaving member is dropped", func(c []Candidate) []Candidate { c[0].Leaving = true; return c }, []int{2, 3}},
	{"a leaving member stays while too few remain", func(c []Candidate) []Candidate {
		c[0].Leaving, c[1].Reachable = true, false
		return c
	}, []int{1, 3}},
	{"a leaving member stays until a learner that joins is complete", func(c []Candidate) []Candidate {
		c[0].Leaving, c[1].Reachable = true, false
		return append(c, learner(4))
	}, []int{1, 3, 4}},
	{"a leaving member is dropped once enough others are complete", func(c []Candidate) []Candidate {
		c[0].Leaving = true
		return append(c, learner(4))
	}, []int{2, 3, 4}},
	{"a member whose disk is lost is not retained", func(c []Candidate) []Candidate {
		c[0].Reachable, c[0].DiskLost, c[1].Complete = false, true, false
		return c
	}, []int{3, 2}},
	{"a learner joins before retained members", func(c []Candidate) []Candidate {
		c[1].Reachable, c[2].Complete = false, false
		return append(c, learner(4))
	}, []int{1, 3, 2}},
}

func TestNext(t *testing.T) {
	for _, c := range nextCases {
		t.Run(c.name, func(t *testing.T) {
			next, ok := Next(testView(), c.change(healthy(testView())), testPolicy)
			if got := memberNumbers(next); !slices.Equal(got, c.want) || ok != (c.want != nil) {
				t.Errorf("got next view %v, want %v", got, c.want)
			}
			if ok && next.Epoch != 5 {
				t.Errorf("got epoch %d, want 5", next.Epoch)
			}
		})
	}
}

func TestNextKeepsTheEpochOfJoining(t *testing.T) {
	candidates := healthy(testView())
	candidates[1].Reachable = false
	next, ok := Next(testView(), append(candidates, learner(4)), testPolicy)
	if !ok {
		t.Fatal("got no next view")
	}
	for _, member := range next.Members {
		want := uint64(1)
		if member.Replica == 4 {
			want = 5
		}
		if member.Joined != want {
			t.Errorf("replica %d: got epoch of joining %d, want %d", member.Replica, member.Joined, want)
		}
	}
}
