package member

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// joinRetryMinimum is the first time between pings of the seeds; it grows up to joinRetryMaximum.
	joinRetryMinimum = 100 * time.Millisecond
	joinRetryMaximum = time.Second
	// unknownSeedRetryMaximum takes the place of joinRetryMaximum once other members are known.
	unknownSeedRetryMaximum = 5 * time.Second

	// rejoinPeriod is the shortest time between pings of dead members, for few members; it grows with the number of
	// members up to rejoinPeriodMaximum.
	rejoinPeriod        = time.Second
	rejoinPeriodMaximum = 30 * time.Second
	// rejoinShare is how many pings of each dead member all members together send in a period.
	rejoinShare = 16
)

// joiner looks for members that are not known, or may have become reachable again.
type joiner struct {
	retry       time.Duration // of seeds that are not known
	nextAttempt time.Duration
}

func (j *joiner) start(now time.Duration) { j.restart(now) }

// restart begins anew, after a pause.
func (j *joiner) restart(now time.Duration) {
	j.nextAttempt = now
	j.retry = joinRetryMinimum
}

// advanceJoining pings the seeds that are not known, and now and then a member that is dead or a seed that has left.
func (m *membership) advanceJoining(now time.Duration) {
	if now < m.joiner.nextAttempt {
		return
	}
	if target := m.pickRejoinTarget(); target.IsValid() {
		m.ping(target)
	}
	anyUnknown := m.pingUnknownSeeds()
	if m.running > 1 && !anyUnknown {
		m.joiner.nextAttempt = now + jitter(m.random, m.currentRejoinPeriod())
		return
	}
	m.joiner.nextAttempt = now + m.joiner.retry
	longest := joinRetryMaximum
	if m.running > 1 {
		longest = unknownSeedRetryMaximum
	}
	m.joiner.retry = min(m.joiner.retry*3/2, longest)
}

// currentRejoinPeriod is longer where many members ping few dead ones.
func (m *membership) currentRejoinPeriod() time.Duration {
	dead := max(m.deadCount(), 1)
	period := rejoinPeriod * time.Duration(m.running) / time.Duration(rejoinShare*dead)
	return min(max(period, rejoinPeriod), rejoinPeriodMaximum)
}

// pingUnknownSeeds pings the seeds that are in no list of members yet, and reports whether there are any.
func (m *membership) pingUnknownSeeds() bool {
	anyUnknown := false
	for _, seed := range m.seeds {
		if m.members[seed] == nil {
			anyUnknown = true
			m.ping(seed)
		}
	}
	return anyUnknown
}

func (m *membership) deadCount() int {
	count := 0
	for _, e := range m.order {
		if e.member.State == Dead {
			count++
		}
	}
	return count
}

// pickRejoinTarget chooses a dead member, or a seed that has left, at random. The address is invalid if there is none.
func (m *membership) pickRejoinTarget() netip.AddrPort {
	var chosen netip.AddrPort
	seen := 0
	for _, e := range m.order {
		state := e.member.State
		candidate := state == Dead || state == Left && slices.Contains(m.seeds, e.member.Address)
		if !candidate {
			continue
		}
		seen++
		if m.random.IntN(seen) == 0 {
			chosen = e.member.Address
		}
	}
	return chosen
}

// noteJoin is called when a message came from a member that was not known to be running before. If it is now, and knows
// others, the lists are exchanged.
func (m *membership) noteJoin(now time.Duration, from netip.AddrPort, running uint32) {
	if !m.isRunning(from) || running < 2 {
		return
	}
	m.antiEntropy.pendingJoin = from
	m.antiEntropy.nextExchange = now
}
