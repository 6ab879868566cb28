package quota

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"nickelline/internal/fault"
)

var (
	testLimit  = Limit{Rate: 50, Burst: 50}
	testHolder = Holder{proxyAddress, 1}
)

// renewComplete presents all leases of a life.
func renewComplete(t *testing.T, a *Allocator, now time.Time, h Holder, sequence uint64, entries ...Entry) []Grant {
	t.Helper()
	grants, err := a.Renew(now, h, &Renewal{Life: h.Life, Sequence: sequence, Complete: true, Entries: entries})
	if err != nil {
		t.Fatal(err)
	}
	return grants
}

func TestAllocatorWithoutHoldersGrantsAtOnce(t *testing.T) {
	a := NewAllocator(rulePolicy, oneLimit(testLimit), nil, testStart)
	g := mustRenew(t, a, after(0), testHolder, 1, Entry{Tenant: "t", Demand: 100})[0]
	if g.Lease.Rate < 40 {
		t.Errorf("%+v though nobody holds a lease", g)
	}
}

func TestAllocatorGrantsOnceAllHaveBeenHeard(t *testing.T) {
	a := NewAllocator(rulePolicy, oneLimit(testLimit), []Holder{testHolder, otherHolder}, testStart)
	held := Entry{Tenant: "t", Held: Holding{Rate: 20, Depth: 5}, Demand: 100}
	renewComplete(t, a, after(time.Millisecond), testHolder, 1, held)
	if addresses := a.Unheard(after(time.Millisecond)); !slices.Equal(addresses, []netip.AddrPort{otherHolder.Address}) {
		t.Errorf("not heard of: %v", addresses)
	}
	if g := mustRenew(t, a, after(2*time.Millisecond), testHolder, 2, held)[0]; g.Lease.Rate > 20 {
		t.Errorf("%+v before the other leases are known", g)
	}
	mustRenew(t, a, after(3*time.Millisecond), otherHolder, 1, held) // perhaps not all of its leases
	if g := mustRenew(t, a, after(4*time.Millisecond), testHolder, 3, held)[0]; g.Lease.Rate > 20 {
		t.Errorf("%+v before the other leases are known", g)
	}
	renewComplete(t, a, after(5*time.Millisecond), otherHolder, 2, held)
	g := mustRenew(t, a, after(6*time.Millisecond), testHolder, 4, held)[0]
	if g.Lease.Rate <= 20 || g.Lease.Rate > 30 {
		t.Errorf("%+v with all leases known, 20 of 50 held by another", g)
	}
	if addresses := a.Unheard(after(6 * time.Millisecond)); len(addresses) != 0 {
		t.Errorf("not heard of: %v", addresses)
	}
}

func TestNewLifeNeedsNotBeHeard(t *testing.T) {
	a := NewAllocator(rulePolicy, oneLimit(testLimit), []Holder{testHolder}, testStart)
	restarted := Holder{proxyAddress, 2}
	if a.Admit(restarted) != Unregistered || a.Heard(restarted) {
		t.Error("a life that is not registered is admitted")
	}
	registerLife(a, after(0), restarted)
	if g := mustRenew(t, a, after(0), restarted, 1, Entry{Tenant: "t", Demand: 100})[0]; g.Lease.Rate < 40 {
		t.Errorf("%+v though the only holder has restarted", g)
	}
	if a.Admit(testHolder) != Former {
		t.Error("the former life is admitted")
	}
}

func TestUnregisteredLivesGetNothing(t *testing.T) {
	a, now := settledAllocator(testLimit)
	_, err := a.Renew(now, testHolder, &Renewal{Life: 1, Sequence: 1, Entries: []Entry{{Tenant: "t", Need: 1}}})
	if fault.KindOf(err) != fault.Conflict {
		t.Errorf("error %v", err)
	}
}

func TestSilentLivesAreRemoved(t *testing.T) {
	a, now := settledAllocator(testLimit)
	mustRenew(t, a, now, testHolder, 1, Entry{Tenant: "t", Demand: 100})
	late := now.Add(silentLeases*rulePolicy.Lease + time.Second)
	mustRenew(t, a, late.Add(-time.Second), otherHolder, 1, Entry{Tenant: "t", Demand: 100})
	mustRenew(t, a, late, otherHolder, 2, Entry{Tenant: "t", Demand: 100})
	if !a.HasSilent() {
		t.Fatal("no silent life is noticed")
	}
	if silent := a.TakeSilent(late); !slices.Equal(silent, []Holder{testHolder}) {
		t.Errorf("silent: %v", silent)
	}
	if a.Admit(testHolder) != Unregistered {
		t.Error("a life that is to be removed is admitted")
	}
	if silent := a.TakeSilent(late); len(silent) != 0 || a.HasSilent() {
		t.Errorf("silent once more: %v", silent)
	}
}
