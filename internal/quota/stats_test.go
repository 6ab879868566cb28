package quota

import (
	"testing"
	"time"

	"go.uber.org/zap"
)

func TestStatsCountLeasesInForce(t *testing.T) {
	l := NewLimiter(Policy{}, nil, nil, zap.NewNop())
	now := time.Now()
	l.budgets.tenants = map[string]*budget{
		"one":  {lease: Holding{Rate: 3}, ends: now.Add(time.Second)},
		"two":  {lease: Holding{Rate: 4}, ends: now.Add(time.Second)},
		"late": {lease: Holding{Rate: 9}, ends: now},
	}
	l.waiting["one"] = []*waiter{{}, {}}
	if stats := l.Stats(now); stats != (Stats{Leases: 2, Waiting: 2, Rate: 7}) {
		t.Errorf("%+v", stats)
	}
}
