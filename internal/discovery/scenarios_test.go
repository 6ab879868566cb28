package discovery

import (
	"testing"
	"time"
)

func TestSimulatedPolls(t *testing.T) {
	t.Run("small", func(t *testing.T) { testSimulatedPolls(t, smallCluster) })
	t.Run("large", func(t *testing.T) { testSimulatedPolls(t, largeCluster) })
}

func testSimulatedPolls(t *testing.T, cluster simulatedCluster) {
	for name, fault := range map[string]func(*simulation){
		"without faults": func(*simulation) {},
		"primary frozen": func(s *simulation) {
			s.clock.At(10*time.Second, func() { s.nodes[0].frozen = true })
		},
		"two control nodes frozen": func(s *simulation) {
			s.clock.At(10*time.Second, func() { s.nodes[0].frozen, s.nodes[1].frozen = true, true })
		},
		"node partitioned": func(s *simulation) {
			s.clock.At(10*time.Second, func() { s.nodes[7].partitioned = true })
		},
		"control nodes partitioned": func(s *simulation) {
			s.clock.At(10*time.Second, func() {
				for _, n := range s.nodes[:cluster.controls] {
					n.partitioned = true
				}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			worst, calls := time.Duration(0), 0
			const end = 40 * time.Second
			for seed := range uint64(10) {
				s := newSimulation(seed, cluster)
				s.scheduleDrains(firstDrain, end-cluster.drainTimeout)
				fault(s)
				s.clock.RunUntil(end)
				for _, n := range s.nodes {
					if !n.frozen && n.version != s.platformVersion {
						t.Errorf("seed %d: version of a node: got %d, want %d", seed, n.version, s.platformVersion)
					}
				}
				worst = max(worst, s.worstDelay)
				calls = max(calls, s.calls)
			}
			rate := float64(calls) / end.Seconds()
			t.Logf("known everywhere after %v, %.1f calls a second", worst, rate)
			if limit := cluster.drainTimeout * 9 / 10; worst > limit {
				t.Errorf("time until a drain is known: got %v, want %v at most", worst, limit)
			}
			if limit := testRate / 2; rate > limit {
				t.Errorf("calls a second: got %.1f, want %.1f at most", rate, limit)
			}
		})
	}
}

// TestSimulatedPollsAtTargetSize simulates a cluster in which the primary uses nearly all of the platform's rate limit.
// A drain must be known within one polling cycle, both without faults and with a partitioned node, and within two
// cycles when the primary fails and another node becomes the primary.
func TestSimulatedPollsAtTargetSize(t *testing.T) {
	// Drains start after 10 s: in the first seconds polls of several nodes compete for the rate limit.
	const drainsFrom, faultAt, rankChangeAt, end = 10 * time.Second, 15 * time.Second, 17 * time.Second, 45 * time.Second
	// A drain waits for the next call for its page, at most one pass over all pages at the rate limit, and then for at
	// most two exchanges. The sum is about the drain timeout of the cluster: at this rate no larger listing could be
	// read in time.
	cycle := fraction(time.Second, float64(targetCluster.pages)/(steadyRateFraction*testRate)) + 2*testHeartbeat
	for name, c := range map[string]struct {
		fault func(*simulation)
		worst time.Duration
	}{
		"without faults": {func(*simulation) {}, cycle},
		"node partitioned": {func(s *simulation) {
			s.clock.At(faultAt, func() { s.nodes[17].partitioned = true })
		}, cycle},
		"primary frozen": {func(s *simulation) {
			s.clock.At(faultAt, func() { s.nodes[0].frozen = true })
			s.clock.At(rankChangeAt, func() {
				for _, n := range s.nodes[:s.cluster.controls] {
					n.rank--
				}
			})
		}, 2 * cycle},
	} {
		t.Run(name, func(t *testing.T) {
			worst, calls := time.Duration(0), 0
			for seed := range uint64(10) {
				s := newSimulation(seed, targetCluster)
				s.scheduleDrains(drainsFrom, end-2*targetCluster.drainTimeout)
				c.fault(s)
				s.clock.RunUntil(end)
				for i, n := range s.nodes {
					if !n.frozen && !n.partitioned && len(n.knownChanges) != s.platformVersion {
						t.Errorf("seed %d: changes that node %d knows: got %d, want %d", seed, i, len(n.knownChanges), s.platformVersion)
					}
				}
				worst, calls = max(worst, s.worstDelay), max(calls, s.calls)
			}
			rate := float64(calls) / end.Seconds()
			t.Logf("known everywhere after %v, %.1f calls a second", worst, rate)
			if worst > c.worst {
				t.Errorf("time until a drain is known: got %v, want %v at most", worst, c.worst)
			}
			if rate > testRate {
				t.Errorf("calls a second: got %.1f, want %.1f at most", rate, testRate)
			}
		})
	}
}

// TestOnlyThePrimaryPollsWithoutFaults checks that without faults the other nodes get the list from the primary and do
// not poll.
func TestOnlyThePrimaryPollsWithoutFaults(t *testing.T) {
	const start, end = 5 * time.Second, 65 * time.Second // excludes the start, when the nodes do not know each other yet
	for name, cluster := range map[string]simulatedCluster{"small": smallCluster, "large": largeCluster} {
		cluster.pages = 1 // so that each poll is one call
		for seed := range uint64(5) {
			s := newSimulation(seed, cluster)
			s.scheduleDrains(firstDrain, end)
			s.clock.RunUntil(start)
			calls, pulls := s.calls, s.pulls
			s.clock.RunUntil(end)
			polls := float64(s.calls - calls)
			own := float64(end-start) / float64(s.nodes[0].schedule.period())
			t.Logf("%s, seed %d: %v polls, the primary makes %v, %d pulls", name, seed, polls, own, s.pulls-pulls)
			if polls > 1.1*own {
				t.Errorf("%s, seed %d: got %v polls, want 1.1 times the %v of the primary at most", name, seed, polls, own)
			}
		}
	}
}

// TestSimulatedSimultaneousStart checks that of many nodes that start at the same time, one gets the complete list soon
// despite the shared rate limit, and the others get it from that node.
func TestSimulatedSimultaneousStart(t *testing.T) {
	const bound = 5 * time.Second
	for name, cluster := range map[string]simulatedCluster{"large": largeCluster, "huge": hugeCluster} {
		cluster.joinedAt = 400 * time.Millisecond
		for seed := range uint64(5) {
			s := newSimulation(seed, cluster)
			s.platformVersion = 1
			known := func() int {
				count := 0
				for _, n := range s.nodes {
					count += n.version
				}
				return count
			}
			for s.clock.Now() < bound && known() < cluster.nodes {
				s.clock.RunUntil(s.clock.Now() + 20*time.Millisecond)
			}
			t.Logf("%s, seed %d: %d nodes know the list after %v, %d calls", name, seed, known(), s.clock.Now(), s.calls)
			if known() < cluster.nodes {
				t.Errorf("%s, seed %d: nodes that know the list: got %d after %v", name, seed, known(), bound)
			}
		}
	}
}
