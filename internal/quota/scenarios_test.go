package quota

import (
	"fmt"
	"testing"
	"time"
)

// eightTenants returns tenants with large and small limits and a demand of utilization times their rate.
func eightTenants(utilization float64) []*simulatedTenant {
	var tenants []*simulatedTenant
	for i, rate := range []float64{120, 80, 50, 30, 20, 15, 10, 8} {
		tenants = append(tenants, &simulatedTenant{
			name: fmt.Sprintf("tenant-%d", i), limit: Limit{Rate: rate, Burst: rate}, demand: rate * utilization,
		})
	}
	return tenants
}

const warmUp = 10 * time.Second // simulated time before the traffic starts

// idealRefusedFraction returns the fraction of requests that one bucket for all proxies would have refused.
func idealRefusedFraction(tenants []*simulatedTenant) float64 {
	sent, refused := 0, 0
	for _, t := range tenants {
		sent += t.sent
		refused += t.ideal.refused
	}
	return float64(refused) / float64(sent)
}

func refusedFraction(tenants []*simulatedTenant) float64 {
	sent, refused := 0, 0
	for _, t := range tenants {
		sent += t.sent
		refused += t.refused
	}
	return float64(refused) / float64(sent)
}

func TestSimulatedOrdinaryUse(t *testing.T) {
	worst := 0.0
	for seed := range uint64(5) {
		s := newSimulation(t, seed, 10, eightTenants(0.62))
		for _, tenant := range s.tenants {
			s.traffic(tenant, tenant.demand, warmUp, warmUp+30*time.Second)
		}
		s.clock.RunUntil(warmUp + 31*time.Second)
		worst = max(worst, refusedFraction(s.tenants))
		t.Logf("seed %d: %d calls in 30 s", seed, s.calls)
	}
	t.Logf("refused under the limit: %.4f at worst", worst)
	if worst > 0.01 {
		t.Errorf("requests refused below the limits: got a fraction of %.4f, want 0.01 at most", worst)
	}
}

func TestSimulatedHotTenant(t *testing.T) {
	for seed := range uint64(5) {
		s := newSimulation(t, seed, 10, eightTenants(0.62))
		for i, tenant := range s.tenants {
			demand := tenant.demand
			if i == 2 {
				demand *= 8
			}
			s.traffic(tenant, demand, warmUp, warmUp+20*time.Second)
		}
		s.clock.RunUntil(warmUp + 21*time.Second)
		hot := s.tenants[2]
		if served := float64(len(hot.admitted)) / 20; served < 0.9*hot.limit.Rate {
			t.Errorf("seed %d: hot tenant: got %.1f requests a second admitted, want 0.9 of its rate of %v at least", seed, served, hot.limit.Rate)
		}
		others := append(append([]*simulatedTenant{}, s.tenants[:2]...), s.tenants[3:]...)
		if fraction := refusedFraction(others); fraction > idealRefusedFraction(others)+0.005 {
			t.Errorf("seed %d: other tenants: got a fraction of %.4f refused, want that of one bucket (%.4f) plus 0.005 at most", seed, fraction, idealRefusedFraction(others))
		}
	}
}

func TestSimulatedFailOver(t *testing.T) {
	worst := 0.0
	for seed := range uint64(6) {
		s := newSimulation(t, seed, 10, eightTenants(0.62))
		for _, tenant := range s.tenants {
			s.traffic(tenant, tenant.demand, warmUp, warmUp+20*time.Second)
		}
		s.failOver(warmUp+5*time.Second, 2500*time.Millisecond, 0)
		s.clock.RunUntil(warmUp + 21*time.Second)
		worst = max(worst, refusedFraction(s.tenants))
	}
	t.Logf("refused under the limit over a fail-over: %.4f at worst", worst)
	if worst > 0.1 {
		t.Errorf("requests refused during a fail-over: got a fraction of %.4f, want 0.1 at most", worst)
	}
}

// TestSimulatedFaults checks that the policy's bound holds while messages are lost, proxies freeze, restart and are
// partitioned, and heads change, with all tenants beyond their limits.
func TestSimulatedFaults(t *testing.T) {
	for seed := range uint64(12) {
		s := newSimulation(t, seed, 10, eightTenants(3))
		s.lossy = true
		for _, tenant := range s.tenants {
			s.traffic(tenant, tenant.demand, warmUp/2, warmUp+25*time.Second)
		}
		for range 4 {
			at := warmUp + time.Duration(s.random.Int64N(int64(20*time.Second)))
			span := time.Duration(s.random.Int64N(int64(6 * time.Second)))
			s.proxies[s.random.IntN(10)].freeze(at, at+span)
			s.proxies[s.random.IntN(10)].partition(at, at+span)
			s.proxies[s.random.IntN(10)].restart(at)
		}
		s.failOver(warmUp+3*time.Second, time.Second, 0)
		s.failOver(warmUp+11*time.Second, 0, HeadProofLifetime)
		s.failOver(warmUp+18*time.Second, 0, HeadProofLifetime)
		s.clock.RunUntil(warmUp + 26*time.Second)
	}
}

// TestSimulatedRestartOfHalfTheProxies restarts half of the proxies, whose tenants stay under their limits.
func TestSimulatedRestartOfHalfTheProxies(t *testing.T) {
	for seed := range uint64(4) {
		s := newSimulation(t, seed, 10, eightTenants(0.62))
		for _, tenant := range s.tenants {
			s.traffic(tenant, tenant.demand, warmUp, warmUp+12*time.Second)
		}
		for i := range 5 {
			s.proxies[i].restart(warmUp + 6*time.Second)
		}
		s.clock.RunUntil(warmUp + 13*time.Second)
		if fraction := refusedFraction(s.tenants); fraction > 0.05 {
			t.Errorf("seed %d: requests refused: got a fraction of %.4f, want 0.05 at most", seed, fraction)
		}
	}
}

// TestSimulatedDeposedHeads checks that the policy's bound holds while former heads, which are partitioned from the other
// control nodes but not from the proxies, still act as heads, while proxies restart, freeze and thaw.
func TestSimulatedDeposedHeads(t *testing.T) {
	for seed := range uint64(10) {
		s := newSimulation(t, seed, 10, eightTenants(3))
		s.lossy = true
		for _, tenant := range s.tenants {
			s.traffic(tenant, tenant.demand, warmUp/2, warmUp+25*time.Second)
		}
		for at := warmUp + 2*time.Second; at < warmUp+24*time.Second; at += 2500 * time.Millisecond {
			s.failOver(at, 0, HeadProofLifetime)
			s.clock.At(at, s.partitionHeads)
			s.clock.At(at+time.Duration(s.random.Int64N(int64(6*time.Second))), s.healHeads)
			for range 4 {
				within := at + time.Duration(s.random.Int64N(int64(HeadProofLifetime)))
				span := time.Duration(s.random.Int64N(int64(3 * time.Second)))
				s.proxies[s.random.IntN(10)].restart(within)
				s.proxies[s.random.IntN(10)].freeze(within-span, within)
				s.proxies[s.random.IntN(10)].partition(within-span, within)
			}
		}
		s.clock.RunUntil(warmUp + 26*time.Second)
	}
}

// partitionHeads restricts each proxy at random to the oldest head, the newest head or no head, or lets it reach all.
func (s *simulation) partitionHeads() {
	for _, p := range s.proxies {
		p.reach = reach(s.random.IntN(int(reachNewest) + 1))
		p.partitioned = s.random.IntN(3) == 0
	}
}

// healHeads lets all proxies reach all heads.
func (s *simulation) healHeads() {
	for _, p := range s.proxies {
		p.reach = reachAll
		p.partitioned = false
	}
}

// TestSimulatedKillOfAll kills all proxies and the head at the same time. They restart one after the other, and the head
// stays in its epoch.
func TestSimulatedKillOfAll(t *testing.T) {
	for seed := range uint64(8) {
		for _, utilization := range []float64{0.62, 3} {
			s := newSimulation(t, seed, 10, eightTenants(utilization))
			for _, tenant := range s.tenants {
				s.traffic(tenant, tenant.demand, warmUp, warmUp+20*time.Second)
			}
			const down = 1100 * time.Millisecond
			at := warmUp + 8*time.Second
			for _, p := range s.proxies {
				p.kill(at, at+down+time.Duration(s.random.Int64N(int64(300*time.Millisecond))))
			}
			s.restartHead(at, down+400*time.Millisecond)
			s.clock.RunUntil(at + down + 900*time.Millisecond)
			sent, refused := s.counts()
			s.clock.RunUntil(warmUp + 21*time.Second)
			sentAfter, refusedAfter := s.counts()
			fraction := float64(refusedAfter-refused) / float64(sentAfter-sent)
			if utilization < 1 && fraction > 0.05 {
				t.Errorf("seed %d: requests refused from half a second after the restart: got a fraction of %.4f, want 0.05 at most", seed, fraction)
			}
		}
	}
}

// TestSimulatedDownProxies kills some proxies, which do not restart, together with the head. The new allocator waits for
// their leases no longer than leases last, and later allocators do not wait for these proxies.
func TestSimulatedDownProxies(t *testing.T) {
	for seed := range uint64(6) {
		s := newSimulation(t, seed, 10, eightTenants(0.62))
		for _, tenant := range s.tenants {
			s.traffic(tenant, tenant.demand, warmUp, warmUp+45*time.Second)
		}
		at := warmUp + 5*time.Second
		for _, p := range s.proxies[:3] {
			p.kill(at, at+time.Hour)
		}
		s.failOver(at, time.Second, 0)
		s.clock.RunUntil(at + time.Second + testPolicy.Lease + HeadProofLifetime + 100*time.Millisecond)
		if a := s.heads[0].allocator; a == nil || !a.graceEnded(s.now()) {
			t.Errorf("seed %d: grace period: want it ended once all former leases have expired", seed)
		}
		s.failOver(at+30*time.Second, time.Second, 0)
		s.clock.RunUntil(at + 31500*time.Millisecond)
		if a := s.heads[0].allocator; a == nil || !a.graceEnded(s.now()) {
			t.Errorf("seed %d: second allocator: want no grace period for proxies that are down", seed)
		}
		s.clock.RunUntil(warmUp + 46*time.Second)
	}
}

// TestSimulatedHeadKill replaces a killed head. The proxies stay alive and continue with their leases.
func TestSimulatedHeadKill(t *testing.T) {
	worst := 0.0
	for seed := range uint64(8) {
		s := newSimulation(t, seed, 10, eightTenants(0.62))
		for _, tenant := range s.tenants {
			s.traffic(tenant, tenant.demand, warmUp, warmUp+20*time.Second)
		}
		at := warmUp + 5*time.Second
		s.failOver(at, 2*time.Second, 0)
		s.clock.RunUntil(at + 2300*time.Millisecond)
		sent, refused := s.counts()
		s.clock.RunUntil(warmUp + 21*time.Second)
		sentAfter, refusedAfter := s.counts()
		worst = max(worst, float64(refusedAfter-refused)/float64(sentAfter-sent))
	}
	t.Logf("refused from 0.3 s after the start of the new head: %.4f at worst", worst)
	if worst > 0.03 {
		t.Errorf("requests refused after the start of a new head: got a fraction of %.4f, want 0.03 at most", worst)
	}
}

// TestSimulatedBurstInLongGracePeriod guards against tokens that proxies return in a grace period being granted beyond the
// capacity: tenants that used little of their leases get more than their limit when they become hot.
func TestSimulatedBurstInLongGracePeriod(t *testing.T) {
	for seed := range uint64(12) {
		s := newSimulation(t, seed, 10, eightTenants(0.62))
		const (
			headLost = warmUp + 5*time.Second
			healed   = headLost + 8*time.Second
		)
		burst := headLost + 2*time.Second + time.Duration(s.random.Int64N(int64(4*time.Second)))
		for _, tenant := range s.tenants {
			s.traffic(tenant, tenant.demand, warmUp, headLost)
			s.traffic(tenant, tenant.demand/2, headLost, burst)
			s.traffic(tenant, 7.5*tenant.demand, burst, burst+5*time.Second)
		}
		s.proxies[0].partition(headLost, healed) // does not reclaim its leases, which keeps the grace period open
		s.failOver(headLost, time.Second, 0)
		s.clock.RunUntil(headLost + 2*time.Second)
		if a := s.heads[0].allocator; a == nil || a.graceEnded(s.now()) {
			t.Errorf("seed %d: grace period: want it open while a leaseholder is partitioned", seed)
		}
		s.clock.RunUntil(burst + 6*time.Second)
	}
}
