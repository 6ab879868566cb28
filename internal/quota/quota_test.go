package quota

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/settings"
)

var testStart = time.Now()

func after(d time.Duration) time.Time { return testStart.Add(d) }

var (
	proxyAddress     = netip.MustParseAddrPort("10.1.0.7:7661")
	otherLeaseholder = Leaseholder{netip.MustParseAddrPort("10.3.0.7:7661"), 3}
)

func oneLimit(l Limit) func(string) Limit { return func(string) Limit { return l } }

// allocatorAfterGrace gives an allocator that knows all leases.
func allocatorAfterGrace(l Limit) (*Allocator, time.Time) {
	return NewAllocator(rulePolicy, oneLimit(l), nil, testStart), testStart
}

// register adds a life to those that an allocator knows to be registered.
func register(a *Allocator, now time.Time, added Leaseholder) {
	members := []Leaseholder{added}
	for address, h := range a.leaseholders {
		if h.registered && address != added.Address {
			members = append(members, Leaseholder{Address: address, Life: h.life})
		}
	}
	a.SetRegistered(now, members)
}

// mustRenew renews leases for a life, which it has registered before.
func mustRenew(t *testing.T, a *Allocator, now time.Time, h Leaseholder, sequence uint64, entries ...Entry) []Grant {
	t.Helper()
	if a.StatusOf(h) == Unregistered {
		register(a, now, h)
	}
	grants, err := a.Renew(now, h, &Renewal{Life: h.Life, Sequence: sequence, Entries: entries})
	if err != nil {
		t.Fatal(err)
	}
	return grants
}

func TestPolicyOfBounds(t *testing.T) {
	p := PolicyOf(&settings.Bounds{QuotaWindowS: 5, QuotaOvershoot: 0.1, QuotaAllowance: 20})
	if p != rulePolicy {
		t.Errorf("%+v, want %+v", p, rulePolicy)
	}
	if p := PolicyOf(&settings.Bounds{}); p.Lease <= 0 || p.Window <= 0 {
		t.Errorf("%+v without bounds", p)
	}
}

func TestNewAllocatorGrantsNothingInGracePeriod(t *testing.T) {
	h := Leaseholder{proxyAddress, 1}
	a := NewAllocator(rulePolicy, oneLimit(Limit{Rate: 50, Burst: 50}), []Leaseholder{h, otherLeaseholder}, testStart)
	held := Share{Rate: 20, Depth: 5}
	g := mustRenew(t, a, after(0), h, 1, Entry{Tenant: "t", Held: held, Demand: 40, Need: 3})[0]
	if g.Granted != 0 || g.Lease.Rate > held.Rate || g.Lease.Depth > held.Depth || g.RetryAfter == 0 {
		t.Errorf("%+v before the leases of a former allocator have ended", g)
	}
	g = mustRenew(t, a, a.graceEndsAt.Add(time.Second), h, 2, Entry{Tenant: "t", Held: g.Lease, Demand: 40, Need: 3})[0]
	if g.Granted != 3 || g.Lease.Rate <= 20 {
		t.Errorf("%+v with all leases known", g)
	}
}

func TestReductionStaysOutstandingUntilConfirmed(t *testing.T) {
	a, now := allocatorAfterGrace(Limit{Rate: 50, Burst: 50})
	first, second := Leaseholder{proxyAddress, 1}, Leaseholder{netip.MustParseAddrPort("10.2.0.7:7661"), 2}
	g := mustRenew(t, a, now, first, 1, Entry{Tenant: "t", Demand: 100})[0]
	held := g.Lease
	if held.Rate < 40 {
		t.Fatalf("the only proxy gets %+v", held)
	}
	g = mustRenew(t, a, now, second, 1, Entry{Tenant: "t", Demand: 100})[0]
	if held.Rate+g.Lease.Rate > 50 {
		t.Errorf("leases of %v and %v", held.Rate, g.Lease.Rate)
	}
	lower := mustRenew(t, a, now, first, 2, Entry{Tenant: "t", Held: held, Demand: 100})[0].Lease
	if lower.Rate >= held.Rate {
		t.Fatalf("not reduced: %v after %v", lower.Rate, held.Rate)
	}
	g = mustRenew(t, a, now, second, 2, Entry{Tenant: "t", Held: g.Lease, Demand: 100})[0]
	if held.Rate+g.Lease.Rate > 50 {
		t.Errorf("leases of %v (not yet given up) and %v", held.Rate, g.Lease.Rate)
	}
	mustRenew(t, a, now, first, 3, Entry{Tenant: "t", Held: lower, Demand: 100})
	grown := mustRenew(t, a, now, second, 3, Entry{Tenant: "t", Held: g.Lease, Demand: 100})[0].Lease
	if grown.Rate <= g.Lease.Rate || lower.Rate+grown.Rate > 50 {
		t.Errorf("leases of %v and %v after the reduction", lower.Rate, grown.Rate)
	}
}

func TestLeaseEndsUnlessRenewed(t *testing.T) {
	a, now := allocatorAfterGrace(Limit{Rate: 50, Burst: 50})
	mustRenew(t, a, now, Leaseholder{proxyAddress, 1}, 1, Entry{Tenant: "t", Demand: 100})
	other := Leaseholder{netip.MustParseAddrPort("10.2.0.7:7661"), 2}
	late := now.Add(rulePolicy.Lease + HeadProofLifetime/2) // a successor may have extended it meanwhile
	g := mustRenew(t, a, late, other, 1, Entry{Tenant: "t", Demand: 100})[0]
	if g.Lease.Rate > 10 {
		t.Errorf("%+v while a successor may have renewed the other lease", g)
	}
	late = now.Add(rulePolicy.Lease + HeadProofLifetime + time.Millisecond)
	g = mustRenew(t, a, late, other, 2, Entry{Tenant: "t", Held: g.Lease, Demand: 100})[0]
	if g.Lease.Rate < 40 {
		t.Errorf("%+v after the other lease has ended", g)
	}
}

func TestRestartEndsTheFormerLeases(t *testing.T) {
	a, now := allocatorAfterGrace(Limit{Rate: 50, Burst: 50})
	mustRenew(t, a, now, Leaseholder{proxyAddress, 1}, 7, Entry{Tenant: "t", Demand: 100})
	g := mustRenew(t, a, now, Leaseholder{proxyAddress, 2}, 1, Entry{Tenant: "t", Demand: 100})[0]
	if g.Lease.Rate < 40 {
		t.Errorf("a restarted proxy gets %+v", g)
	}
	_, err := a.Renew(now, Leaseholder{proxyAddress, 1}, &Renewal{Life: 1, Sequence: 8})
	if fault.KindOf(err) != fault.Conflict {
		t.Errorf("a message of a former life: %v", err)
	}
}

func TestStaleSequenceIsRefused(t *testing.T) {
	a, now := allocatorAfterGrace(Limit{Rate: 50, Burst: 50})
	h := Leaseholder{proxyAddress, 1}
	mustRenew(t, a, now, h, 2, Entry{Tenant: "t", Demand: 10})
	for _, sequence := range []uint64{1, 2} {
		_, err := a.Renew(now, h, &Renewal{Life: 1, Sequence: sequence})
		if fault.KindOf(err) != fault.Conflict {
			t.Errorf("sequence %d after 2: %v", sequence, err)
		}
	}
}

func TestUnlimitedTenantGetsAll(t *testing.T) {
	a, now := allocatorAfterGrace(Limit{})
	g := mustRenew(t, a, now, Leaseholder{proxyAddress, 1}, 1, Entry{Tenant: "t", Need: 9})[0]
	if g.Granted != 9 {
		t.Errorf("%+v", g)
	}
}

func TestBucketNeedsALease(t *testing.T) {
	b := newLeasedBuckets(rulePolicy)
	if b.takeOnArrival(after(0), "t") {
		t.Fatal("a token without a lease")
	}
	entries := b.renewalEntries(after(0), map[string]int{"t": 1}, false)
	b.apply(after(time.Second), after(0), entries, []Grant{{Lease: Share{Rate: 10, Depth: 3}}})
	if b.takeOnArrival(after(time.Second), "t") {
		t.Error("a new lease must begin with an empty bucket")
	}
	if !b.takeOnArrival(after(1200*time.Millisecond), "t") {
		t.Error("no token after 0.2 s of 10 a second")
	}
	if b.takeOnArrival(after(rulePolicy.Lease), "t") {
		t.Error("a token after the end of the lease, counted from when it was asked for")
	}
}

func TestBucketReturnsItsSurplus(t *testing.T) {
	b := newLeasedBuckets(rulePolicy)
	b.takeOnArrival(after(0), "t")
	entries := b.renewalEntries(after(0), nil, true)
	b.apply(after(0), after(0), entries, []Grant{{Lease: Share{Rate: 10, Depth: 3}}})
	entries = b.renewalEntries(after(time.Second), nil, true)
	if got := entries[0].Returned; math.Abs(got-5) > 1e-9 { // of 10 given 3 are saved, 5 come in a period
		t.Errorf("%v returned", got)
	}
	if again := b.renewalEntries(after(time.Second), nil, true)[0].Returned; again != 0 {
		t.Errorf("%v returned once more", again)
	}
}

func TestRefundReturnsAToken(t *testing.T) {
	b := newLeasedBuckets(rulePolicy)
	b.takeOnArrival(after(0), "t")
	entries := b.renewalEntries(after(0), nil, true)
	b.apply(after(0), after(0), entries, []Grant{{Lease: Share{Rate: 1, Depth: 1}}})
	now := after(time.Second)
	if !b.takeOnArrival(now, "t") || b.takeOnArrival(now, "t") {
		t.Fatal("one token expected")
	}
	b.refund(now, "t")
	if !b.takeOnArrival(now, "t") {
		t.Error("the token is lost")
	}
}

func TestIdleTenantsAreForgotten(t *testing.T) {
	b := newLeasedBuckets(rulePolicy)
	b.takeOnArrival(after(0), "t")
	if entries := b.renewalEntries(after(idleTimeout+time.Second), nil, true); len(entries) != 0 || len(b.byTenant) != 0 {
		t.Errorf("%d entries, %d tenants", len(entries), len(b.byTenant))
	}
}

func TestCodec(t *testing.T) {
	r := &Renewal{Life: 1 << 63, Sequence: 7, Epoch: 1 << 62, Complete: true, Entries: []Entry{
		{Tenant: "a", Held: Share{Rate: 1.5, Depth: 2.5}, Demand: 3.5, Need: 4, Returned: 0.5},
		{Tenant: "b"},
	}}
	data, err := encodeRenewal(r)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeRenewal(data)
	if err != nil || fmt.Sprint(got) != fmt.Sprint(r) {
		t.Errorf("%v, want %v (error %v)", got, r, err)
	}
	a := &answer{
		grants:      []Grant{{Lease: Share{Rate: 1, Depth: 2}, Granted: 3, RetryAfter: 40 * time.Millisecond}},
		moved:       true,
		allocator:   proxyAddress,
		epoch:       5,
		mustReclaim: true,
	}
	if data, err = encodeAnswer(a); err != nil {
		t.Fatal(err)
	}
	gotAnswer, err := decodeAnswer(data)
	if err != nil || fmt.Sprint(gotAnswer) != fmt.Sprint(a) {
		t.Errorf("%v, want %v (error %v)", gotAnswer, a, err)
	}
	for cut := range data {
		_, _ = decodeAnswer(data[:cut]) // must not panic
		_, _ = decodeRenewal(data[:cut])
		_, _ = decodeAnnouncement(data[:cut])
	}
	if data, err = encodeAnnouncement(6); err != nil {
		t.Fatal(err)
	}
	if epoch, err := decodeAnnouncement(data); err != nil || epoch != 6 {
		t.Errorf("epoch %d, error %v", epoch, err)
	}
}

func TestRefusalCarriesRetryAfter(t *testing.T) {
	err := newRefusal(fault.QuotaExceeded, "t", 70*time.Millisecond)
	if fault.KindOf(err) != fault.QuotaExceeded || RetryAfter(err) != 70*time.Millisecond {
		t.Errorf("kind %v, retry after %v", fault.KindOf(err), RetryAfter(err))
	}
	if RetryAfter(errors.New("other")) != 0 {
		t.Error("another error tells a time")
	}
}

// BenchmarkRenew measures one renewal of a proxy for all tenants, with its messages.
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
				data, err := encodeRenewal(&Renewal{Life: 1, Sequence: sequence, Entries: entries})
				if err != nil {
					b.Fatal(err)
				}
				r, err := decodeRenewal(data)
				if err != nil {
					b.Fatal(err)
				}
				grants, err := a.Renew(now, Leaseholder{proxyAddress, 1}, r)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := encodeAnswer(&answer{grants: grants}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
