package load

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"nickelline/internal/member"
)

func memberAt(number int, role, zone string) member.Member {
	return member.Member{
		Name: fmt.Sprint(number), Role: role, Zone: zone,
		Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7660", number)),
	}
}

func TestCandidatesOfAZone(t *testing.T) {
	leaving := memberAt(4, "control", "a")
	leaving.Leaving = true
	dead := memberAt(5, "control", "a")
	dead.State = member.Dead
	table := member.NewTable(memberAt(1, "proxy", "a"), memberAt(2, "proxy", "b"), memberAt(3, "control", "a"), leaving, dead,
		memberAt(6, "proxy", "a"), memberAt(7, "proxy", "a"))
	c := &candidates{members: func() *member.Table { return table }, preferredRole: "control"}
	if got := fmt.Sprint(c.inZone("a")); got != "[10.0.0.3:7660 10.0.0.1:7660 10.0.0.6:7660]" {
		t.Errorf("candidates of zone a: got %v, want [10.0.0.3:7660 10.0.0.1:7660 10.0.0.6:7660]", got)
	}
	if got := fmt.Sprint(c.zones()); got != "[a b]" {
		t.Errorf("zones: got %v, want [a b]", got)
	}
	table = member.NewTable(memberAt(7, "proxy", "a"))
	if got := fmt.Sprint(c.inZone("a")); got != "[10.0.0.7:7660]" {
		t.Errorf("candidates of a newer table: got %v, want [10.0.0.7:7660]", got)
	}
}

func TestUnresponsiveCandidateIsReplaced(t *testing.T) {
	all := []netip.AddrPort{nodeA, nodeB, remote}
	var c collectorChoice
	now := at(0)
	ask := func() netip.AddrPort {
		now = now.Add(Interval)
		to, _ := c.target(now, all)
		c.messageSent()
		return to
	}
	for range 10 {
		if to := ask(); to != nodeA {
			t.Fatalf("target while the first candidate responds: got %v, want %v", to, nodeA)
		}
		c.messageReceived()
	}
	for range maxUnanswered {
		ask()
	}
	if to := ask(); to != nodeB {
		t.Fatalf("target after the first candidate did not respond: got %v, want %v", to, nodeB)
	}
	returned := false
	for end := now.Add(returnAfter + Interval); now.Before(end); {
		returned = ask() == nodeA
		c.messageReceived()
	}
	if !returned {
		t.Error("first candidate after returnAfter: got not tried, want tried again")
	}
}

func TestNoCandidates(t *testing.T) {
	var c collectorChoice
	if _, ok := c.target(time.Now(), nil); ok {
		t.Error("target without candidates: got one, want none")
	}
}
