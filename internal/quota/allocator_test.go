package quota

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"nickelline/internal/fault"
)

var testStart = time.Now()

func after(d time.Duration) time.Time { return testStart.Add(d) }

var (
	proxyAddress     = netip.MustParseAddrPort("10.1.0.7:7661")
	otherLeaseholder = Leaseholder{netip.MustParseAddrPort("10.3.0.7:7661"), 3}
)

func oneLimit(l Limit) func(string) Limit { return func(string) Limit { return l } }

// allocatorAfterGrace returns an allocator whose grace period has ended, and the current time.
func allocatorAfterGrace(l Limit) (*Allocator, time.Time) {
	return NewAllocator(testPolicy, oneLimit(l), RegistryState{}, nil, testStart), testStart
}

// register registers a process with an allocator, beside those that are registered already.
func register(a *Allocator, now time.Time, added Leaseholder) {
	members := []Leaseholder{added}
	for address, leaseholder := range a.leaseholders {
		if leaseholder.registered && address != added.Address {
			members = append(members, Leaseholder{Address: address, Generation: leaseholder.generation})
		}
	}
	a.SetRegistered(now, members)
}

// mustRenew registers a process if necessary and renews its leases.
func mustRenew(t *testing.T, a *Allocator, now time.Time, h Leaseholder, sequence uint64, entries ...Entry) []Grant {
	t.Helper()
	if a.StatusOf(h) == Unregistered {
		register(a, now, h)
	}
	grants, err := a.Renew(now, h, &Renewal{Generation: h.Generation, Sequence: sequence, Entries: entries})
	if err != nil {
		t.Fatal(err)
	}
	return grants
}

func TestNewAllocatorGrantsNothingInGracePeriod(t *testing.T) {
	h := Leaseholder{proxyAddress, 1}
	a := NewAllocator(testPolicy, oneLimit(Limit{Rate: 50, Burst: 50}), RegistryState{Leaseholders: []Leaseholder{h, otherLeaseholder}}, nil, testStart)
	held := Share{Rate: 20, Depth: 5}
	grant := mustRenew(t, a, after(0), h, 1, Entry{Tenant: "t", Held: held, Demand: 40, Need: 3})[0]
	if grant.Granted != 0 || grant.Lease.Rate > held.Rate || grant.Lease.Depth > held.Depth || grant.RetryAfter == 0 {
		t.Errorf("grant in the grace period: got %+v, want no more than %+v", grant, held)
	}
	grant = mustRenew(t, a, a.graceEndsAt.Add(time.Second), h, 2, Entry{Tenant: "t", Held: grant.Lease, Demand: 40, Need: 3})[0]
	if grant.Granted != 3 || grant.Lease.Rate <= 20 {
		t.Errorf("grant after the grace period: got %+v, want 3 granted and a rate over 20", grant)
	}
}

func TestReductionStaysOutstandingUntilConfirmed(t *testing.T) {
	a, now := allocatorAfterGrace(Limit{Rate: 50, Burst: 50})
	first, second := Leaseholder{proxyAddress, 1}, Leaseholder{netip.MustParseAddrPort("10.2.0.7:7661"), 2}
	grant := mustRenew(t, a, now, first, 1, Entry{Tenant: "t", Demand: 100})[0]
	held := grant.Lease
	if held.Rate < 40 {
		t.Fatalf("lease of the only proxy: got %+v, want a rate of 40 at least", held)
	}
	grant = mustRenew(t, a, now, second, 1, Entry{Tenant: "t", Demand: 100})[0]
	if held.Rate+grant.Lease.Rate > 50 {
		t.Errorf("rates of both leases: got %v and %v, want 50 at most together", held.Rate, grant.Lease.Rate)
	}
	lower := mustRenew(t, a, now, first, 2, Entry{Tenant: "t", Held: held, Demand: 100})[0].Lease
	if lower.Rate >= held.Rate {
		t.Fatalf("reduced rate: got %v, want less than %v", lower.Rate, held.Rate)
	}
	grant = mustRenew(t, a, now, second, 2, Entry{Tenant: "t", Held: grant.Lease, Demand: 100})[0]
	if held.Rate+grant.Lease.Rate > 50 {
		t.Errorf("rates of both leases before the confirmation: got %v and %v, want 50 at most together", held.Rate, grant.Lease.Rate)
	}
	mustRenew(t, a, now, first, 3, Entry{Tenant: "t", Held: lower, Demand: 100})
	grown := mustRenew(t, a, now, second, 3, Entry{Tenant: "t", Held: grant.Lease, Demand: 100})[0].Lease
	if grown.Rate <= grant.Lease.Rate || lower.Rate+grown.Rate > 50 {
		t.Errorf("rates of both leases after the confirmation: got %v and %v, want growth to 50 at most together", lower.Rate, grown.Rate)
	}
}

func TestLeaseEndsUnlessRenewed(t *testing.T) {
	a, now := allocatorAfterGrace(Limit{Rate: 50, Burst: 50})
	mustRenew(t, a, now, Leaseholder{proxyAddress, 1}, 1, Entry{Tenant: "t", Demand: 100})
	other := Leaseholder{netip.MustParseAddrPort("10.2.0.7:7661"), 2}
	late := now.Add(testPolicy.Lease + HeadProofLifetime/2) // a successor of this allocator may have renewed the lease
	grant := mustRenew(t, a, late, other, 1, Entry{Tenant: "t", Demand: 100})[0]
	if grant.Lease.Rate > 10 {
		t.Errorf("grant while the other lease may be in force: got %+v, want a rate of 10 at most", grant)
	}
	late = now.Add(testPolicy.Lease + HeadProofLifetime + time.Millisecond)
	grant = mustRenew(t, a, late, other, 2, Entry{Tenant: "t", Held: grant.Lease, Demand: 100})[0]
	if grant.Lease.Rate < 40 {
		t.Errorf("grant after the other lease expired: got %+v, want a rate of 40 at least", grant)
	}
}

func TestRestartEndsTheFormerLeases(t *testing.T) {
	a, now := allocatorAfterGrace(Limit{Rate: 50, Burst: 50})
	mustRenew(t, a, now, Leaseholder{proxyAddress, 1}, 7, Entry{Tenant: "t", Demand: 100})
	grant := mustRenew(t, a, now, Leaseholder{proxyAddress, 2}, 1, Entry{Tenant: "t", Demand: 100})[0]
	if grant.Lease.Rate < 40 {
		t.Errorf("grant of a restarted proxy: got %+v, want a rate of 40 at least", grant)
	}
	_, err := a.Renew(now, Leaseholder{proxyAddress, 1}, &Renewal{Generation: 1, Sequence: 8})
	if fault.KindOf(err) != fault.Conflict {
		t.Errorf("renewal of a former process: got error %v, want fault.Conflict", err)
	}
}

func TestStaleSequenceIsRefused(t *testing.T) {
	a, now := allocatorAfterGrace(Limit{Rate: 50, Burst: 50})
	h := Leaseholder{proxyAddress, 1}
	mustRenew(t, a, now, h, 2, Entry{Tenant: "t", Demand: 10})
	for _, sequence := range []uint64{1, 2} {
		_, err := a.Renew(now, h, &Renewal{Generation: 1, Sequence: sequence})
		if fault.KindOf(err) != fault.Conflict {
			t.Errorf("sequence %d after 2: got error %v, want fault.Conflict", sequence, err)
		}
	}
}

func TestUnlimitedTenantGetsAll(t *testing.T) {
	a, now := allocatorAfterGrace(Limit{})
	grant := mustRenew(t, a, now, Leaseholder{proxyAddress, 1}, 1, Entry{Tenant: "t", Need: 9})[0]
	if grant.Granted != 9 {
		t.Errorf("grant without a limit: got %+v, want 9 granted", grant)
	}
}

// BenchmarkRenew measures one renewal of a proxy for all tenants, including encoding and decoding.
func BenchmarkRenew(b *testing.B) {
	for _, tenants := range []int{8, 100, 940} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) {
			a, now := allocatorAfterGrace(Limit{Rate: 50, Burst: 50})
			register(a, now, Leaseholder{proxyAddress, 1})
			entries := make([]Entry, tenants)
			for i := range entries {
				entries[i] = Entry{Tenant: fmt.Sprintf("tenant-%d", i), Demand: 3, Need: 1}
			}
			sequence := uint64(0)
			for b.Loop() {
				sequence++
				now = now.Add(time.Millisecond)
				data, err := encodeRenewal(&Renewal{Generation: 1, Sequence: sequence, Entries: entries})
				if err != nil {
					b.Fatal(err)
				}
				renewal, err := decodeRenewal(data)
				if err != nil {
					b.Fatal(err)
				}
				grants, err := a.Renew(now, Leaseholder{proxyAddress, 1}, renewal)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := encodeAnswer(&renewalAnswer{grants: grants}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestAllocatorIgnoresAnEarlierTime guards against tokens given twice: renewals read the clock before they take the mutex, so
// the allocator may see an earlier time after a later one.
func TestAllocatorIgnoresAnEarlierTime(t *testing.T) {
	limit := Limit{Rate: 50, Burst: 50}
	a, _ := allocatorAfterGrace(limit)
	a.accountOf(after(0), "t", limit)
	for range 5 {
		a.accountOf(after(time.Second/2), "t", limit)
		a.accountOf(after(time.Second/4), "t", limit)
	}
	if got := a.accountOf(after(time.Second/2), "t", limit).tokens; got > 25+1e-9 {
		t.Errorf("tokens of 0.5 s at 50 requests a second: got %v, want 25 at most", got)
	}
}
