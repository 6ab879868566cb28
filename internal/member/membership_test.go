package member

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// seedCountBySize is the number of simulated histories for each number of members.
var seedCountBySize = map[int]uint64{16: 8, 100: 3}

// forEachHistory runs a test with several seeds and numbers of members.
func forEachHistory(t *testing.T, test func(t *testing.T, seed uint64, size int)) {
	t.Helper()
	for size, count := range seedCountBySize {
		for seed := range count {
			t.Run(fmt.Sprintf("%d members, seed %d", size, seed), func(t *testing.T) {
				t.Parallel()
				test(t, seed, size)
			})
		}
	}
}

func TestMembersStartInAnyOrder(t *testing.T) {
	forEachHistory(t, func(t *testing.T, seed uint64, size int) {
		s := newSimulation(t, seed, size)
		s.loss = 0.01
		s.run(startSpread, nil)
		t.Log(s.runUntil("all members know each other", 3*time.Second, s.complete))
	})
}

func TestNoFalseDeathsAtRest(t *testing.T) {
	forEachHistory(t, func(t *testing.T, seed uint64, size int) {
		s := newSimulation(t, seed, size)
		s.loss = 0.01
		s.run(time.Minute, nil)
		if s.falseDeaths > 0 || !s.complete() {
			t.Errorf("got %d false deaths and complete %t, want 0 and true", s.falseDeaths, s.complete())
		}
		perSecond := float64(s.datagrams) / s.clock.Now().Seconds() / float64(size)
		if perSecond > 20 {
			t.Errorf("datagrams a second from each member: got %.1f, want at most 20", perSecond)
		}
	})
}

func TestCrashIsDetected(t *testing.T) {
	for _, c := range []struct {
		size, crashes int
		mean          time.Duration // upper bound of the mean time until all members know of the crash
	}{
		{size: 16, crashes: 15, mean: 1600 * time.Millisecond},
		{size: 100, crashes: 15, mean: 2200 * time.Millisecond},
		{size: 400, crashes: 8, mean: 2500 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(c.size, " members"), func(t *testing.T) {
			t.Parallel()
			s := newJoinedSimulation(t, 1, c.size)
			s.loss = 0.01
			sum := time.Duration(0)
			for range c.crashes {
				address := s.order[s.random.IntN(len(s.order))]
				s.crash(address)
				sum += s.runUntil("detection", 5*time.Second, func() bool { return s.allConsider(address, Dead) })
				s.start(address, uint64(s.clock.Now()))
				s.runUntil("return", 5*time.Second, s.complete)
			}
			mean := sum / time.Duration(c.crashes)
			t.Log("mean time until all know", mean)
			if mean > c.mean {
				t.Errorf("mean time until all know: got %v, want at most %v", mean, c.mean)
			}
		})
	}
}

func TestFrozenMemberReturns(t *testing.T) {
	forEachHistory(t, func(t *testing.T, seed uint64, size int) {
		s := newJoinedSimulation(t, seed, size)
		address := s.order[s.random.IntN(size)]
		s.freeze(address)
		s.runUntil("detection", 6*time.Second, func() bool { return s.allConsider(address, Dead) })
		s.run(s.clock.Now()+10*time.Second, nil)
		s.falseDeaths = 0
		s.thaw(address)
		t.Log(s.runUntil("return", 2*time.Second, s.complete))
		s.run(s.clock.Now()+5*time.Second, nil)
		if !s.complete() {
			t.Error("lists complete after the return: got false, want true")
		}
	})
}

func TestShortFreezeIsRefuted(t *testing.T) {
	forEachHistory(t, func(t *testing.T, seed uint64, size int) {
		s := newJoinedSimulation(t, seed, size)
		for range 10 {
			address := s.order[s.random.IntN(size)]
			s.freeze(address)
			s.run(s.clock.Now()+450*time.Millisecond, nil)
			s.thaw(address)
			s.run(s.clock.Now()+3*time.Second, nil)
		}
		if s.falseDeaths > 0 || !s.complete() {
			t.Errorf("got %d false deaths and complete %t, want 0 and true", s.falseDeaths, s.complete())
		}
	})
}

func TestSlowMembersStayAlive(t *testing.T) {
	forEachHistory(t, func(t *testing.T, seed uint64, size int) {
		s := newJoinedSimulation(t, seed, size)
		s.loss = 0.01
		s.maxProcessingDelay = make(map[netip.AddrPort]time.Duration)
		for _, i := range s.random.Perm(size)[:size/4] {
			s.maxProcessingDelay[s.order[i]] = 300 * time.Millisecond
		}
		s.run(s.clock.Now()+time.Minute, nil)
		if s.falseDeaths > 0 {
			t.Errorf("false deaths: got %d, want 0", s.falseDeaths)
		}
	})
}

func TestPartitionHeals(t *testing.T) {
	for _, duration := range []time.Duration{2 * time.Second, 30 * time.Second, 3 * time.Minute} {
		t.Run(duration.String(), func(t *testing.T) {
			forEachHistory(t, func(t *testing.T, seed uint64, size int) {
				s := newJoinedSimulation(t, seed, size)
				s.loss = 0.01
				minority := map[netip.AddrPort]bool{}
				for _, i := range s.random.Perm(size)[:1+s.random.IntN(size/2)] {
					minority[s.order[i]] = true
				}
				s.connected = func(a, b netip.AddrPort) bool { return minority[a] == minority[b] }
				s.run(s.clock.Now()+duration, nil)
				s.connected = nil
				took := s.runUntil("all members know each other", 8*time.Second, s.complete)
				t.Logf("%d of %d members partitioned, rejoined after %v", len(minority), size, took)
				s.run(s.clock.Now()+5*time.Second, nil)
				s.falseDeaths = 0
				s.run(s.clock.Now()+20*time.Second, nil)
				if s.falseDeaths > 0 || !s.complete() {
					t.Errorf("after the partition: got %d false deaths and complete %t, want 0 and true", s.falseDeaths, s.complete())
				}
			})
		})
	}
}

func TestRestartSupersedesTheEarlierProcess(t *testing.T) {
	for name, incarnation := range map[string]uint64{"clock ahead": 1 << 40, "clock stepped back": 0} {
		t.Run(name, func(t *testing.T) {
			forEachHistory(t, func(t *testing.T, seed uint64, size int) {
				s := newJoinedSimulation(t, seed, size)
				address := s.order[s.random.IntN(size)]
				s.crash(address)
				s.run(s.clock.Now()+time.Duration(s.random.Int64N(int64(4*time.Second))), nil)
				s.start(address, incarnation)
				generation := s.nodes[address].membership.self.member.Generation
				superseded := func() bool {
					for _, other := range s.order {
						e := s.nodes[other].membership.members[address]
						if e == nil || e.member.Generation != generation || !e.member.Running() {
							return false
						}
					}
					return s.complete()
				}
				s.runUntil("new process known", 3*time.Second, superseded)
				s.run(s.clock.Now()+5*time.Second, nil)
				if !superseded() {
					t.Error("earlier process: got it back in a list, want it superseded in all")
				}
			})
		})
	}
}

func TestLeave(t *testing.T) {
	forEachHistory(t, func(t *testing.T, seed uint64, size int) {
		s := newJoinedSimulation(t, seed, size)
		s.loss = 0.01
		address := s.order[s.random.IntN(size)]
		node := s.nodes[address]
		confirmed := false
		s.deliver(node, func(n *simulatedNode) { n.membership.leave(s.clock.Now()) })
		s.runUntil("confirmed", time.Second, func() bool {
			confirmed = confirmed || node.membership.leaver.remainingAcks == 0
			return confirmed
		})
		s.crash(address)
		s.runUntil("left", time.Second, func() bool { return s.allConsider(address, Left) })
		s.run(s.clock.Now()+10*time.Second, nil)
		if !s.allConsider(address, Left) {
			t.Errorf("state after the leave: got another one at some member, want %v at all", Left)
		}
	})
}

func TestAllRestart(t *testing.T) {
	forEachHistory(t, func(t *testing.T, seed uint64, size int) {
		s := newJoinedSimulation(t, seed, size)
		for _, address := range s.order {
			s.crash(address)
		}
		s.run(s.clock.Now()+time.Second, nil)
		for _, address := range s.order {
			s.clock.At(s.clock.Now()+time.Duration(s.random.Int64N(int64(time.Second))), func() { s.start(address, 1) })
		}
		s.run(s.clock.Now()+time.Second, nil)
		s.runUntil("all members know each other", 3*time.Second, s.complete)
	})
}

func TestJoinWhileSeedsAreDown(t *testing.T) {
	forEachHistory(t, func(t *testing.T, seed uint64, size int) {
		s := newJoinedSimulation(t, seed, size)
		s.crash(s.seeds[0])
		s.crash(s.seeds[1])
		s.run(s.clock.Now()+20*time.Second, nil)
		joiner := s.order[size-1]
		s.crash(joiner)
		s.run(s.clock.Now()+20*time.Second, nil)
		s.start(joiner, 1)
		t.Log(s.runUntil("joined", 2*time.Second, s.complete))
	})
}

func TestPartitionOfTwoMembersIsBridgedByOthers(t *testing.T) {
	s := newJoinedSimulation(t, 1, 16)
	first, second := s.order[4], s.order[5]
	s.falseDeaths = 0
	s.connected = func(a, b netip.AddrPort) bool { return !(a == first && b == second) && !(a == second && b == first) }
	s.run(s.clock.Now()+time.Minute, nil)
	if s.falseDeaths > 0 {
		t.Errorf("false deaths though others reach both: got %d, want 0", s.falseDeaths)
	}
}

func TestUpdateSelfReachesAll(t *testing.T) {
	s := newJoinedSimulation(t, 1, 16)
	address := s.order[7]
	s.deliver(s.nodes[address], func(n *simulatedNode) {
		n.membership.updateSelf(s.clock.Now(), func(m *Member) { m.Leaving = true })
	})
	s.runUntil("update known", time.Second, func() bool {
		return !slices.ContainsFunc(s.order, func(other netip.AddrPort) bool {
			return !s.nodes[other].membership.members[address].member.Leaving
		})
	})
}

func TestDeadMembersAreForgotten(t *testing.T) {
	s := newJoinedSimulation(t, 1, 16)
	address := s.order[9]
	s.crash(address)
	s.run(s.clock.Now()+forgetAfter+time.Minute, nil)
	for _, other := range s.order {
		if other != address && s.nodes[other].membership.members[address] != nil {
			t.Errorf("member %v: got an entry of %v, want none", other, address)
		}
	}
}

func TestTableHoldsAllMembers(t *testing.T) {
	s := newSimulation(t, 1, 16)
	s.run(20*time.Second, nil)
	for _, address := range s.order {
		n := s.nodes[address]
		if got := len(n.table.Running()); got != 16 {
			t.Errorf("members alive in the table of %v: got %d, want 16", address, got)
		}
		if m, found := n.table.Get(address); !found || m.Address != address {
			t.Errorf("table of %v: got no record of itself, want one", address)
		}
		if got := len(n.table.ByRole("proxy")); got != 16 {
			t.Errorf("members of the role in the table of %v: got %d, want 16", address, got)
		}
	}
}

func TestAssertionOrder(t *testing.T) {
	assertions := []assertion{
		{incarnation: 1, generation: 1, state: Alive},
		{incarnation: 1, generation: 1, state: Suspect},
		{incarnation: 1, generation: 1, state: Dead},
		{incarnation: 1, generation: 1, state: Left},
		{incarnation: 1, generation: 2, state: Alive},
		{incarnation: 2, generation: 1, state: Alive},
	}
	for i, a := range assertions {
		for j, b := range assertions {
			if got, want := a.supersedes(b), i > j; got != want {
				t.Errorf("%+v supersedes %+v: got %t, want %t", a, b, got, want)
			}
		}
	}
}
