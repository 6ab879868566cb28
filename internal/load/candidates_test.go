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
	gone := memberAt(5, "control", "a")
	gone.State = member.Dead
	table := member.NewTable(memberAt(1, "proxy", "a"), memberAt(2, "proxy", "b"), memberAt(3, "control", "a"), leaving, gone,
		memberAt(6, "proxy", "a"), memberAt(7, "proxy", "a"))
	c := &candidates{members: func() *member.Table { return table }, preferred: "control"}
	if got := fmt.Sprint(c.inZone("a")); got != "[10.0.0.3:7660 10.0.0.1:7660 10.0.0.6:7660]" {
		t.Errorf("candidates of the zone: %v", got)
	}
	if got := fmt.Sprint(c.zones()); got != "[a b]" {
		t.Errorf("zones: %v", got)
	}
	table = member.NewTable(memberAt(7, "proxy", "a"))
	if got := fmt.Sprint(c.inZone("a")); got != "[10.0.0.7:7660]" {
		t.Errorf("candidates of a newer table: %v", got)
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
			t.Fatalf("%v is asked though the first candidate answers", to)
		}
		c.messageReceived()
	}
	for range maxUnanswered {
		ask()
	}
	if to := ask(); to != nodeB {
		t.Fatalf("%v is asked after the first candidate was silent", to)
	}
	returned := false
	for end := now.Add(returnAfter + Interval); now.Before(end); {
		returned = ask() == nodeA
		c.messageReceived()
	}
	if !returned {
		t.Error("the first candidate is not tried again")
	}
}

func TestNoCandidates(t *testing.T) {
	var c collectorChoice
	if _, ok := c.target(time.Now(), nil); ok {
		t.Error("a candidate out of none")
	}
}
