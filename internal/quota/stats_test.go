package quota

import (
	"testing"
	"time"

	"go.uber.org/zap"
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
	if stats := l.Stats(now); stats != (Stats{Leases: 2, Waiting: 2, Rate: 7}) {
		t.Errorf("Stats: got %+v, want 2 leases, 2 waiting requests and a rate of 7", stats)
	}
}
