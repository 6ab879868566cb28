package quota

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/configuration"
)

func TestStatsCountLeasesInForce(t *testing.T) {
	l := NewLimiter(Policy{}, nil, nil, zap.NewNop())
	now := time.Now()
	l.buckets.byTenant = map[string]*leasedBucket{
		"one":  {lease: Share{Rate: 3}, expiresAt: now.Add(time.Second)},
		"two":  {lease: Share{Rate: 4}, expiresAt: now.Add(time.Second)},
		"late": {lease: Share{Rate: 9}, expiresAt: now},
	}
	l.waiting["one"] = []*waitingRequest{{}, {}}
	l.Refund(&configuration.Tenant{Name: "one", RatePerSecond: 1}, now)
	want := Stats{Leases: 2, Waiting: 2, Rate: 7, Admissions: Admissions{Refunded: 1}}
	if stats := l.Stats(now); stats != want {
		t.Errorf("Stats: got %+v, want %+v", stats, want)
	}
}

func TestStatsOfTheAllocator(t *testing.T) {
	registered := []Leaseholder{testLeaseholder, otherLeaseholder}
	a := NewAllocator(testPolicy, oneLimit(testLimit), RegistryState{Leaseholders: registered}, []string{testTenant}, testStart)
	renewal := &Renewal{Sequence: 1, Complete: true, Entries: []Entry{{Tenant: testTenant, Need: 5, Returned: 2}}}
	if _, err := a.Renew(testStart, testLeaseholder, renewal); err != nil {
		t.Fatal(err)
	}
	stats := a.Stats(testStart)
	if !stats.InGrace || stats.Unreclaimed != 1 || stats.Granted != 5 || stats.Returned != 2 {
		t.Errorf("in the grace period: got %+v, want one leaseholder unreclaimed, 5 granted and 2 returned", stats)
	}
	if stats.HighestLevel <= 0 || stats.HighestLevel > 1 {
		t.Errorf("highest level: got %v, want above 0 and 1 at most", stats.HighestLevel)
	}
	if a.Stats(testStart.Add(testPolicy.Lease + HeadProofLifetime)).InGrace {
		t.Error("after the leases of the former allocator: got the grace period, want it ended")
	}
}
