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

// reclaimAll sends a complete renewal, with all leases of a process.
func reclaimAll(t *testing.T, a *Allocator, now time.Time, h Leaseholder, sequence uint64, entries ...Entry) []Grant {
	t.Helper()
	grants, err := a.Renew(now, h, &Renewal{Generation: h.Generation, Sequence: sequence, Complete: true, Entries: entries})
	if err != nil {
		t.Fatal(err)
	}
	return grants
}

func TestAllocatorWithoutLeaseholdersGrantsAtOnce(t *testing.T) {
	a := NewAllocator(testPolicy, oneLimit(testLimit), RegistryState{}, nil, testStart)
	grant := mustRenew(t, a, after(0), testLeaseholder, 1, Entry{Tenant: "t", Demand: 100})[0]
	if grant.Lease.Rate < 40 {
		t.Errorf("grant without other leases: got %+v, want a rate of 40 at least", grant)
	}
}

func TestGraceEndsOnceAllLeasesAreReclaimed(t *testing.T) {
	a := NewAllocator(testPolicy, oneLimit(testLimit), RegistryState{Leaseholders: []Leaseholder{testLeaseholder, otherLeaseholder}}, nil, testStart)
	held := Entry{Tenant: "t", Held: Share{Rate: 20, Depth: 5}, Demand: 100}
	reclaimAll(t, a, after(time.Millisecond), testLeaseholder, 1, held)
	if addresses := a.Unreclaimed(after(time.Millisecond)); !slices.Equal(addresses, []netip.AddrPort{otherLeaseholder.Address}) {
		t.Errorf("Unreclaimed: got %v, want only %v", addresses, otherLeaseholder.Address)
	}
	if grant := mustRenew(t, a, after(2*time.Millisecond), testLeaseholder, 2, held)[0]; grant.Lease.Rate > 20 {
		t.Errorf("grant in the grace period: got %+v, want a rate of 20 at most", grant)
	}
	mustRenew(t, a, after(3*time.Millisecond), otherLeaseholder, 1, held) // not complete: the process may hold more leases
	if grant := mustRenew(t, a, after(4*time.Millisecond), testLeaseholder, 3, held)[0]; grant.Lease.Rate > 20 {
		t.Errorf("grant in the grace period: got %+v, want a rate of 20 at most", grant)
	}
	reclaimAll(t, a, after(5*time.Millisecond), otherLeaseholder, 2, held)
	grant := mustRenew(t, a, after(6*time.Millisecond), testLeaseholder, 4, held)[0]
	if grant.Lease.Rate <= 20 || grant.Lease.Rate > 30 {
		t.Errorf("grant after the grace period: got %+v, want a rate over 20 and up to 30", grant)
	}
	if addresses := a.Unreclaimed(after(6 * time.Millisecond)); len(addresses) != 0 {
		t.Errorf("Unreclaimed after the grace period: got %v, want none", addresses)
	}
}

func TestRestartedProxyHasNothingToReclaim(t *testing.T) {
	a := NewAllocator(testPolicy, oneLimit(testLimit), RegistryState{Leaseholders: []Leaseholder{testLeaseholder}}, nil, testStart)
	restarted := Leaseholder{proxyAddress, 2}
	if a.StatusOf(restarted) != Unregistered || a.HasReclaimed(restarted) {
		t.Error("restarted process: got registered or reclaimed, want neither")
	}
	register(a, after(0), restarted)
	if grant := mustRenew(t, a, after(0), restarted, 1, Entry{Tenant: "t", Demand: 100})[0]; grant.Lease.Rate < 40 {
		t.Errorf("grant after the restart: got %+v, want a rate of 40 at least", grant)
	}
	if a.StatusOf(testLeaseholder) != Former {
		t.Error("status of the former process: want Former")
	}
}

func TestUnregisteredProcessIsGrantedNothing(t *testing.T) {
	a, now := allocatorAfterGrace(testLimit)
	_, err := a.Renew(now, testLeaseholder, &Renewal{Generation: 1, Sequence: 1, Entries: []Entry{{Tenant: "t", Need: 1}}})
	if fault.KindOf(err) != fault.Conflict {
		t.Errorf("Renew of an unregistered process: got error %v, want fault.Conflict", err)
	}
}

func TestUnresponsiveLeaseholderIsRemoved(t *testing.T) {
	a, now := allocatorAfterGrace(testLimit)
	mustRenew(t, a, now, testLeaseholder, 1, Entry{Tenant: "t", Demand: 100})
	late := now.Add(unresponsiveLeasePeriods*testPolicy.Lease + time.Second)
	mustRenew(t, a, late.Add(-time.Second), otherLeaseholder, 1, Entry{Tenant: "t", Demand: 100})
	mustRenew(t, a, late, otherLeaseholder, 2, Entry{Tenant: "t", Demand: 100})
	if !a.HasRemovable() {
		t.Fatal("HasRemovable: got false, want true")
	}
	if removable := a.TakeRemovable(late); !slices.Equal(removable, []Leaseholder{testLeaseholder}) {
		t.Errorf("TakeRemovable: got %v, want only %v", removable, testLeaseholder)
	}
	if a.StatusOf(testLeaseholder) != Unregistered {
		t.Error("status of a removable process: want Unregistered")
	}
	if removable := a.TakeRemovable(late); len(removable) != 0 || a.HasRemovable() {
		t.Errorf("second TakeRemovable: got %v, want none", removable)
	}
}

// A new allocator learns from the registry which processes have ended. A late renewal of such a process must not register it
// in place of the process that now runs at its address, which may hold leases.
func TestNewAllocatorRejectsFormerProcesses(t *testing.T) {
	former := Leaseholder{Address: testLeaseholder.Address, Generation: testLeaseholder.Generation + 7}
	registry := RegistryState{Leaseholders: []Leaseholder{testLeaseholder}, Former: []Leaseholder{former}}
	a := NewAllocator(testPolicy, oneLimit(testLimit), registry, nil, testStart)
	if got := a.StatusOf(former); got != Former {
		t.Errorf("status of a process that was replaced: got %v, want %v", got, Former)
	}
	if got := a.StatusOf(testLeaseholder); got != Registered {
		t.Errorf("status of the process in its place: got %v, want %v", got, Registered)
	}
}
