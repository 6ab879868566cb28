package discovery

import (
	"testing"
	"time"
)

func TestSimulatedPolls(t *testing.T) {
	t.Run("small", func(t *testing.T) { testSimulatedPolls(t, smallSite) })
	t.Run("large", func(t *testing.T) { testSimulatedPolls(t, largeSite) })
}

func testSimulatedPolls(t *testing.T, site simulatedSite) {
	for name, fault := range map[string]func(*simulation){
		"calm": func(*simulation) {},
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
				for _, n := range s.nodes[:site.controls] {
					n.partitioned = true
				}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			worst, calls := time.Duration(0), 0
			const end = 40 * time.Second
			for seed := range uint64(10) {
				s := newSimulation(seed, site)
				s.scheduleDrains(firstDrain, end-site.drain)
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
			if limit := site.drain * 9 / 10; worst > limit {
				t.Errorf("time until a drain is known: got %v, want %v at most", worst, limit)
			}
			if limit := testRate / 2; rate > limit {
				t.Errorf("calls a second: got %.1f, want %.1f at most", rate, limit)
			}
		})
	}
}

// TestSimulatedPollsAtTargetSize: where the primary takes nearly all of the platform's rate, a drain is known within a
// cycle of calls, without faults and with a partitioned node. After the primary has failed, polling goes on once another
// node is the primary.
func TestSimulatedPollsAtTargetSize(t *testing.T) {
	// In the first seconds polls of several nodes compete for the rate.
	const started, lost, noticed, end = 10 * time.Second, 15 * time.Second, 17 * time.Second, 45 * time.Second
	// A drain waits for the next call for its page, which takes what the rate allows, and then for two exchanges at most:
	// about the drain time-out of the site. No larger listing could be read in time at this rate.
	cycle := fraction(time.Second, float64(targetSite.pages)/(steadyRateFraction*testRate)) + 2*testHeartbeat
	for name, c := range map[string]struct {
		fault func(*simulation)
		worst time.Duration
	}{
		"calm": {func(*simulation) {}, cycle},
		"node partitioned": {func(s *simulation) {
			s.clock.At(lost, func() { s.nodes[17].partitioned = true })
		}, cycle},
		"primary frozen": {func(s *simulation) {
			s.clock.At(lost, func() { s.nodes[0].frozen = true })
			s.clock.At(noticed, func() {
				for _, n := range s.nodes[:s.site.controls] {
					n.rank--
				}
			})
		}, 2 * cycle},
	} {
		t.Run(name, func(t *testing.T) {
			worst, calls := time.Duration(0), 0
			for seed := range uint64(10) {
				s := newSimulation(seed, targetSite)
				s.scheduleDrains(started, end-2*targetSite.drain)
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

// TestOnlyThePrimaryPollsWithoutFaults: without faults the other nodes learn from the primary and do not poll.
func TestOnlyThePrimaryPollsWithoutFaults(t *testing.T) {
	const start, end = 5 * time.Second, 65 * time.Second // without the start, when the nodes have not joined yet
	for name, site := range map[string]simulatedSite{"small": smallSite, "large": largeSite} {
		site.pages = 1 // so that calls are polls
		for seed := range uint64(5) {
			s := newSimulation(seed, site)
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

// TestSimulatedSimultaneousStart: many nodes that start together share the platform's rate so that one of them gets the
// whole list soon, and the others get it from that one.
func TestSimulatedSimultaneousStart(t *testing.T) {
	const bound = 5 * time.Second
	for name, site := range map[string]simulatedSite{"large": largeSite, "huge": hugeSite} {
		site.joined = 400 * time.Millisecond
		for seed := range uint64(5) {
			s := newSimulation(seed, site)
			s.platformVersion = 1
			known := func() int {
				count := 0
				for _, n := range s.nodes {
					count += n.version
				}
				return count
			}
			for s.clock.Now() < bound && known() < site.nodes {
				s.clock.RunUntil(s.clock.Now() + 20*time.Millisecond)
			}
			t.Logf("%s, seed %d: %d nodes know the list after %v, %d calls", name, seed, known(), s.clock.Now(), s.calls)
			if known() < site.nodes {
				t.Errorf("%s, seed %d: nodes that know the list: got %d after %v", name, seed, known(), bound)
			}
		}
	}
}
