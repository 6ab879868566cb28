package quota

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"nickelline/internal/fault"
)

var (
	testLimit       = Limit{Rate: 50, Burst: 50}
	testLeaseholder = Leaseholder{proxyAddress, 1}
)

// reclaimAll presents all leases of a life.
func reclaimAll(t *testing.T, a *Allocator, now time.Time, h Leaseholder, sequence uint64, entries ...Entry) []Grant {
	t.Helper()
	grants, err := a.Renew(now, h, &Renewal{Life: h.Life, Sequence: sequence, Complete: true, Entries: entries})
	if err != nil {
		t.Fatal(err)
	}
	return grants
}

func TestAllocatorWithoutLeaseholdersGrantsAtOnce(t *testing.T) {
	a := NewAllocator(rulePolicy, oneLimit(testLimit), nil, testStart)
	g := mustRenew(t, a, after(0), testLeaseholder, 1, Entry{Tenant: "t", Demand: 100})[0]
	if g.Lease.Rate < 40 {
		t.Errorf("%+v though nobody holds a lease", g)
	}
}

func TestGraceEndsOnceAllLeasesAreReclaimed(t *testing.T) {
	a := NewAllocator(rulePolicy, oneLimit(testLimit), []Leaseholder{testLeaseholder, otherLeaseholder}, testStart)
	held := Entry{Tenant: "t", Held: Share{Rate: 20, Depth: 5}, Demand: 100}
	reclaimAll(t, a, after(time.Millisecond), testLeaseholder, 1, held)
	if addresses := a.Unreclaimed(after(time.Millisecond)); !slices.Equal(addresses, []netip.AddrPort{otherLeaseholder.Address}) {
		t.Errorf("not heard of: %v", addresses)
	}
	if g := mustRenew(t, a, after(2*time.Millisecond), testLeaseholder, 2, held)[0]; g.Lease.Rate > 20 {
		t.Errorf("%+v before the other leases are known", g)
	}
	mustRenew(t, a, after(3*time.Millisecond), otherLeaseholder, 1, held) // perhaps not all of its leases
	if g := mustRenew(t, a, after(4*time.Millisecond), testLeaseholder, 3, held)[0]; g.Lease.Rate > 20 {
		t.Errorf("%+v before the other leases are known", g)
	}
	reclaimAll(t, a, after(5*time.Millisecond), otherLeaseholder, 2, held)
	g := mustRenew(t, a, after(6*time.Millisecond), testLeaseholder, 4, held)[0]
	if g.Lease.Rate <= 20 || g.Lease.Rate > 30 {
		t.Errorf("%+v with all leases known, 20 of 50 held by another", g)
	}
	if addresses := a.Unreclaimed(after(6 * time.Millisecond)); len(addresses) != 0 {
		t.Errorf("not heard of: %v", addresses)
	}
}

func TestRestartedProxyHasNothingToReclaim(t *testing.T) {
	a := NewAllocator(rulePolicy, oneLimit(testLimit), []Leaseholder{testLeaseholder}, testStart)
	restarted := Leaseholder{proxyAddress, 2}
	if a.StatusOf(restarted) != Unregistered || a.HasReclaimed(restarted) {
		t.Error("a life that is not registered is admitted")
	}
	register(a, after(0), restarted)
	if g := mustRenew(t, a, after(0), restarted, 1, Entry{Tenant: "t", Demand: 100})[0]; g.Lease.Rate < 40 {
		t.Errorf("%+v though the only holder has restarted", g)
	}
	if a.StatusOf(testLeaseholder) != Former {
		t.Error("the former life is admitted")
	}
}

func TestUnregisteredProcessIsGrantedNothing(t *testing.T) {
	a, now := allocatorAfterGrace(testLimit)
	_, err := a.Renew(now, testLeaseholder, &Renewal{Life: 1, Sequence: 1, Entries: []Entry{{Tenant: "t", Need: 1}}})
	if fault.KindOf(err) != fault.Conflict {
		t.Errorf("error %v", err)
	}
}

func TestUnresponsiveLeaseholderIsRemoved(t *testing.T) {
	a, now := allocatorAfterGrace(testLimit)
	mustRenew(t, a, now, testLeaseholder, 1, Entry{Tenant: "t", Demand: 100})
	late := now.Add(unresponsiveLeases*rulePolicy.Lease + time.Second)
	mustRenew(t, a, late.Add(-time.Second), otherLeaseholder, 1, Entry{Tenant: "t", Demand: 100})
	mustRenew(t, a, late, otherLeaseholder, 2, Entry{Tenant: "t", Demand: 100})
	if !a.HasRemovable() {
		t.Fatal("no silent life is noticed")
	}
	if silent := a.TakeRemovable(late); !slices.Equal(silent, []Leaseholder{testLeaseholder}) {
		t.Errorf("silent: %v", silent)
	}
	if a.StatusOf(testLeaseholder) != Unregistered {
		t.Error("a life that is to be removed is admitted")
	}
	if silent := a.TakeRemovable(late); len(silent) != 0 || a.HasRemovable() {
		t.Errorf("silent once more: %v", silent)
	}
}
