package control

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"nickelline/internal/member"
)

func TestStoreDirectory(t *testing.T) {
	f := newPlacementFixture(t, 3)
	f.run(10 * time.Second)
	f.members.members = append(f.members.members, member.Member{
		Name: "f-1", Role: "proxy", Address: netip.MustParseAddrPort("10.0.1.1:1"),
	})
	f.members.find("s-1").State = member.Dead
	f.members.find("s-2").Leaving = true
	f.members.members = append(f.members.members, storeMember(4), storeMember(5))
	f.members.find("s-4").State = member.Dead
	directory := f.newStoreDirectory()
	directory.completeFrom = f.now
	known, usable, complete := directory.Stores()
	if len(known) != 5 || !complete {
		t.Errorf("got known stores %v, complete %v; want 5, true", known, complete)
	}
	if got := fmt.Sprint(usable); got != "[{s-1 101} {s-3 103} {s-5 105}]" {
		t.Errorf("got usable stores %v, want s-1, s-3 and s-5", got)
	}
	f.members.members = nil
	f.now = f.now.Add(-time.Second)
	known, usable, complete = directory.Stores()
	if len(known) != 3 || len(usable) != 0 || complete {
		t.Errorf("got known stores %v, usable %v, complete %v; want 3, 0, false", known, usable, complete)
	}
}
