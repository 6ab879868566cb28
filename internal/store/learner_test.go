package store

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"nickelline/internal/view"
)

func membersAt(addresses ...string) []view.Member {
	var members []view.Member
	for _, address := range addresses {
		members = append(members, view.Member{Address: netip.MustParseAddrPort(address)})
	}
	return members
}

// A store that lost its disk finds its former replica, at its own address, as the tail of the view. It must not try to catch up
// from that replica, which no longer exists.
func TestLearnSourceIsNeverTheStoreItself(t *testing.T) {
	self := netip.MustParseAddrPort("10.0.0.3:1")
	members := membersAt("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
	for try, want := range []string{"10.0.0.2:1", "10.0.0.1:1", "10.0.0.2:1", "10.0.0.1:1"} {
		source, ok := nextLearnSource(members, self, try)
		if !ok || source.address.String() != want {
			t.Errorf("attempt %d: got %v, %v, want %s", try, source.address, ok, want)
		}
	}
	if _, ok := nextLearnSource(membersAt("10.0.0.3:1"), self, 0); ok {
		t.Error("got the store itself as the source, want none")
	}
	if _, ok := nextLearnSource(nil, self, 0); ok {
		t.Error("got a source without any members, want none")
	}
}

// The first timeouts are short, for members that are gone; they grow with each round, for members that have much data to send.
func TestLearnTimeoutGrows(t *testing.T) {
	self := netip.MustParseAddrPort("10.0.0.9:1")
	members := membersAt("10.0.0.1:1", "10.0.0.2:1")
	last := time.Duration(0)
	for try := range 100 {
		source, _ := nextLearnSource(members, self, try)
		if source.timeout < last || source.timeout > maxLearnTimeout {
			t.Fatalf("attempt %d: got %v after %v, want no decrease and at most %v", try, source.timeout, last, maxLearnTimeout)
		}
		last = source.timeout
	}
	if first, _ := nextLearnSource(members, self, 0); first.timeout != minLearnTimeout {
		t.Errorf("first timeout: got %v, want %v", first.timeout, minLearnTimeout)
	}
	if last != maxLearnTimeout {
		t.Errorf("last timeout: got %v, want %v", last, maxLearnTimeout)
	}
}

func TestMembersOfTheSameZoneComeLast(t *testing.T) {
	members := []view.Member{{Name: "a", Zone: "east"}, {Name: "b", Zone: "west"}, {Name: "c", Zone: "east"}, {Name: "d", Zone: "north"}}
	var order []string
	for _, member := range sameZoneLast(members, "east") {
		order = append(order, member.Name)
	}
	if want := []string{"b", "d", "a", "c"}; !slices.Equal(order, want) {
		t.Errorf("got %v, want %v", order, want)
	}
	if members[0].Name != "a" || members[3].Name != "d" {
		t.Error("sameZoneLast changed its argument")
	}
}
