package view

import (
	"fmt"
	"net/netip"
	"testing"
)

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

func memberNumbers(v View) []int {
	var numbers []int
	for _, member := range v.Members {
		numbers = append(numbers, int(member.Replica))
	}
	return numbers
}

func TestNeighbours(t *testing.T) {
	v := testView()
	if successor, ok := v.Successor(1); !ok || successor.Replica != 2 {
		t.Errorf("got successor %v of the head, want replica 2", successor)
	}
	if predecessor, ok := v.Predecessor(3); !ok || predecessor.Replica != 2 {
		t.Errorf("got predecessor %v of the tail, want replica 2", predecessor)
	}
	if _, ok := v.Successor(3); ok {
		t.Error("got a successor of the tail")
	}
	if _, ok := v.Predecessor(1); ok {
		t.Error("got a predecessor of the head")
	}
	if _, ok := v.Successor(9); ok {
		t.Error("got a successor of a replica that is not a member")
	}
}

// A view that an earlier version of the program decided names no voters: its members vote.
func TestViewWithoutVoters(t *testing.T) {
	if v := testView(); !v.HasVoter(2) || v.HasVoter(4) || v.Majority() != 2 {
		t.Errorf("got electorate %v, want the members", v.Electorate())
	}
}
