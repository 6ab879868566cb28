package member

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// histories is the number of seeds for each size.
var histories = map[int]uint64{16: 8, 100: 3}

// forEach runs a test with several seeds and sizes.
func forEach(t *testing.T, test func(t *testing.T, seed uint64, size int)) {
	for size, count := range histories {
		for seed := range count {
			t.Run(fmt.Sprintf("%d members, seed %d", size, seed), func(t *testing.T) {
				t.Parallel()
				test(t, seed, size)
			})
		}
	}
}

func TestStartInAnyOrder(t *testing.T) {
	forEach(t, func(t *testing.T, seed uint64, size int) {
		s := newSimulation(t, seed, size)
		s.loss = 0.01
		s.run(startSpread, nil)
		t.Log(s.runUntil("all know all", 3*time.Second, s.complete))
	})
}

func TestNoFalseDeathsInCalm(t *testing.T) {
	forEach(t, func(t *testing.T, seed uint64, size int) {
		s := newSimulation(t, seed, size)
		s.loss = 0.01
		s.run(time.Minute, nil)
		if s.falseDeaths > 0 || !s.complete() {
			t.Errorf("%d false deaths, complete %t", s.falseDeaths, s.complete())
		}
		perSecond := float64(s.datagrams) / s.now.Seconds() / float64(size)
		if perSecond > 20 {
			t.Errorf("%.1f datagrams a second from each member", perSecond)
		}
	})
}

func TestCrashIsDetected(t *testing.T) {
	for _, c := range []struct {
		size, crashes int
		mean          time.Duration // until all know
	}{
		{size: 16, crashes: 15, mean: 1600 * time.Millisecond},
		{size: 100, crashes: 15, mean: 2200 * time.Millisecond},
		{size: 400, crashes: 8, mean: 2500 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(c.size, " members"), func(t *testing.T) {
			t.Parallel()
			s := started(t, 1, c.size)
			s.loss = 0.01
			sum := time.Duration(0)
			for range c.crashes {
				address := s.order[s.random.IntN(len(s.order))]
				s.crash(address)
				sum += s.runUntil("detection", 5*time.Second, func() bool { return s.known(address, Dead) })
				s.start(address, uint64(s.now))
				s.runUntil("return", 5*time.Second, s.complete)
			}
			mean := sum / time.Duration(c.crashes)
			t.Log("mean time until all know", mean)
			if mean > c.mean {
				t.Errorf("mean %v, want %v", mean, c.mean)
			}
		})
	}
}

func TestFrozenMemberReturns(t *testing.T) {
	forEach(t, func(t *testing.T, seed uint64, size int) {
		s := started(t, seed, size)
		address := s.order[s.random.IntN(size)]
		s.freeze(address)
		s.runUntil("detection", 6*time.Second, func() bool { return s.known(address, Dead) })
		s.run(s.now+10*time.Second, nil)
		s.falseDeaths = 0
		s.wake(address)
		t.Log(s.runUntil("return", 2*time.Second, s.complete))
		s.run(s.now+5*time.Second, nil)
		if !s.complete() {
			t.Error("members are lost again")
		}
	})
}

func TestShortFreezeIsRefuted(t *testing.T) {
	forEach(t, func(t *testing.T, seed uint64, size int) {
		s := started(t, seed, size)
		for range 10 {
			address := s.order[s.random.IntN(size)]
			s.freeze(address)
			s.run(s.now+450*time.Millisecond, nil)
			s.wake(address)
			s.run(s.now+3*time.Second, nil)
		}
		if s.falseDeaths > 0 || !s.complete() {
			t.Errorf("%d false deaths, complete %t", s.falseDeaths, s.complete())
		}
	})
}

func TestSlowMembersLive(t *testing.T) {
	forEach(t, func(t *testing.T, seed uint64, size int) {
		s := started(t, seed, size)
		s.loss = 0.01
		s.slow = make(map[netip.AddrPort]time.Duration)
		for _, i := range s.random.Perm(size)[:size/4] {
			s.slow[s.order[i]] = 300 * time.Millisecond
		}
		s.run(s.now+time.Minute, nil)
		if s.falseDeaths > 0 {
			t.Errorf("%d false deaths", s.falseDeaths)
		}
	})
}

func TestCutHeals(t *testing.T) {
	for _, duration := range []time.Duration{2 * time.Second, 30 * time.Second, 3 * time.Minute} {
		t.Run(duration.String(), func(t *testing.T) {
			forEach(t, func(t *testing.T, seed uint64, size int) {
				s := started(t, seed, size)
				s.loss = 0.01
				small := map[netip.AddrPort]bool{}
				for _, i := range s.random.Perm(size)[:1+s.random.IntN(size/2)] {
					small[s.order[i]] = true
				}
				s.connected = func(a, b netip.AddrPort) bool { return small[a] == small[b] }
				s.run(s.now+duration, nil)
				s.connected = nil
				took := s.runUntil("all know all", 8*time.Second, s.complete)
				t.Logf("%d of %d cut off, found again after %v", len(small), size, took)
				s.run(s.now+5*time.Second, nil)
				s.falseDeaths = 0
				s.run(s.now+20*time.Second, nil)
				if s.falseDeaths > 0 || !s.complete() {
					t.Errorf("%d false deaths after the cut, complete %t", s.falseDeaths, s.complete())
				}
			})
		})
	}
}

func TestRestartSupersedesTheEarlierProcess(t *testing.T) {
	for name, incarnation := range map[string]uint64{"clock ahead": 1 << 40, "clock stepped back": 0} {
		t.Run(name, func(t *testing.T) {
			forEach(t, func(t *testing.T, seed uint64, size int) {
				s := started(t, seed, size)
				address := s.order[s.random.IntN(size)]
				s.crash(address)
				s.run(s.now+time.Duration(s.random.Int64N(int64(4*time.Second))), nil)
				s.start(address, incarnation)
				generation := s.nodes[address].core.self.member.Generation
				superseded := func() bool {
					for _, other := range s.order {
						e := s.nodes[other].core.members[address]
						if e == nil || e.member.Generation != generation || !e.member.Running() {
							return false
						}
					}
					return s.complete()
				}
				s.runUntil("new process known", 3*time.Second, superseded)
				s.run(s.now+5*time.Second, nil)
				if !superseded() {
					t.Error("the earlier process came back")
				}
			})
		})
	}
}

func TestLeave(t *testing.T) {
	forEach(t, func(t *testing.T, seed uint64, size int) {
		s := started(t, seed, size)
		s.loss = 0.01
		address := s.order[s.random.IntN(size)]
		node := s.nodes[address]
		confirmed := false
		s.deliver(node, func(n *simulatedNode) { n.core.leave(s.now) })
		s.runUntil("confirmed", time.Second, func() bool {
			confirmed = confirmed || node.core.leaving.remaining == 0
			return confirmed
		})
		s.crash(address)
		s.runUntil("left", time.Second, func() bool { return s.known(address, Left) })
		s.run(s.now+10*time.Second, nil)
		if !s.known(address, Left) {
			t.Error("the state changed after the leave")
		}
	})
}

func TestAllRestart(t *testing.T) {
	forEach(t, func(t *testing.T, seed uint64, size int) {
		s := started(t, seed, size)
		for _, address := range s.order {
			s.crash(address)
		}
		s.run(s.now+time.Second, nil)
		for _, address := range s.order {
			s.at(s.now+time.Duration(s.random.Int64N(int64(time.Second))), func() { s.start(address, 1) })
		}
		s.run(s.now+time.Second, nil)
		s.runUntil("all know all", 3*time.Second, s.complete)
	})
}

func TestJoinWhileSeedsAreDown(t *testing.T) {
	forEach(t, func(t *testing.T, seed uint64, size int) {
		s := started(t, seed, size)
		s.crash(s.seeds[0])
		s.crash(s.seeds[1])
		s.run(s.now+20*time.Second, nil)
		joiner := s.order[size-1]
		s.crash(joiner)
		s.run(s.now+20*time.Second, nil)
		s.start(joiner, 1)
		t.Log(s.runUntil("joined", 2*time.Second, s.complete))
	})
}

func TestOneWayCut(t *testing.T) {
	s := started(t, 1, 16)
	first, second := s.order[4], s.order[5]
	s.falseDeaths = 0
	s.connected = func(a, b netip.AddrPort) bool { return !(a == first && b == second) && !(a == second && b == first) }
	s.run(s.now+time.Minute, nil)
	if s.falseDeaths > 0 {
		t.Errorf("%d false deaths though others reach both", s.falseDeaths)
	}
}

func TestUpdateOfTheOwnRecord(t *testing.T) {
	s := started(t, 1, 16)
	address := s.order[7]
	s.deliver(s.nodes[address], func(n *simulatedNode) {
		n.core.updateSelf(s.now, func(m *Member) { m.Leaving = true })
	})
	s.runUntil("update known", time.Second, func() bool {
		return !slices.ContainsFunc(s.order, func(other netip.AddrPort) bool {
			return !s.nodes[other].core.members[address].member.Leaving
		})
	})
}

func TestDeadAreForgotten(t *testing.T) {
	s := started(t, 1, 16)
	address := s.order[9]
	s.crash(address)
	s.run(s.now+forgetAfter+time.Minute, nil)
	for _, other := range s.order {
		if other != address && s.nodes[other].core.members[address] != nil {
			t.Errorf("%v still knows %v", other, address)
		}
	}
}

func TestTablesAreNeverOlder(t *testing.T) {
	s := newSimulation(t, 1, 16)
	s.run(20*time.Second, nil)
	for _, address := range s.order {
		n := s.nodes[address]
		if got := len(n.table.Alive()); got != 16 {
			t.Errorf("table of %v has %d members", address, got)
		}
		if m, found := n.table.Get(address); !found || m.Address != address {
			t.Errorf("table of %v lacks it", address)
		}
		if got := len(n.table.ByRole("proxy")); got != 16 {
			t.Errorf("%d members of the role", got)
		}
	}
}

func TestClaimOrder(t *testing.T) {
	claims := []claim{
		{incarnation: 1, generation: 1, state: Alive},
		{incarnation: 1, generation: 1, state: Suspect},
		{incarnation: 1, generation: 1, state: Dead},
		{incarnation: 1, generation: 1, state: Left},
		{incarnation: 1, generation: 2, state: Alive},
		{incarnation: 2, generation: 1, state: Alive},
	}
	for i, a := range claims {
		for j, b := range claims {
			if a.supersedes(b) != (i > j) {
				t.Errorf("%+v supersedes %+v: %t", a, b, a.supersedes(b))
			}
		}
	}
}
