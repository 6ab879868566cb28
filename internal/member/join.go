package member

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// minJoinRetryInterval is the initial interval between pings of the seeds, which grows up to maxJoinRetryInterval.
	minJoinRetryInterval = 100 * time.Millisecond
	maxJoinRetryInterval = time.Second
	// maxUnknownSeedRetryInterval replaces maxJoinRetryInterval once other members are known.
	maxUnknownSeedRetryInterval = 5 * time.Second

	// minRejoinPeriod is the shortest period between pings of dead members by one member. The period grows with the
	// number of members up to maxRejoinPeriod.
	minRejoinPeriod = time.Second
	maxRejoinPeriod = 30 * time.Second
	// rejoinPingsPerPeriod is how many pings all members together send to each dead member in minRejoinPeriod, as far
	// as the bounds of the period allow.
	rejoinPingsPerPeriod = 16
)

// joiner looks for members that are unknown or may have become reachable again.
type joiner struct {
	retryInterval time.Duration // between pings of unknown seeds
	nextAttempt   time.Duration
}

func (j *joiner) start(now time.Duration) { j.restart(now) }

// restart looks for members at once, after a pause of this process, and resets the retry interval.
func (j *joiner) restart(now time.Duration) {
	j.nextAttempt = now
	j.retryInterval = minJoinRetryInterval
}

// advanceJoining pings the unknown seeds and, at each attempt, a dead member or a seed that has left.
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
	m.joiner.nextAttempt = now + m.joiner.retryInterval
	longest := maxJoinRetryInterval
	if m.running > 1 {
		longest = maxUnknownSeedRetryInterval
	}
	m.joiner.retryInterval = min(m.joiner.retryInterval*3/2, longest)
}

// currentRejoinPeriod returns the period between pings of dead members. It is longer if many members ping few dead ones.
func (m *membership) currentRejoinPeriod() time.Duration {
	dead := max(m.deadCount(), 1)
	period := minRejoinPeriod * time.Duration(m.running) / time.Duration(rejoinPingsPerPeriod*dead)
	return min(max(period, minRejoinPeriod), maxRejoinPeriod)
}

// pingUnknownSeeds pings the seeds that are not in the list of members, and reports whether there are any.
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

// recordJoin is called when a message came from a member that was not known to be running before. If the member is now
// known to be running, and itself knows other members, an exchange of lists is scheduled.
func (m *membership) recordJoin(now time.Duration, from netip.AddrPort, running uint32) {
	if !m.isRunning(from) || running < 2 {
		return
	}
	m.antiEntropy.pendingJoin = from
	m.antiEntropy.nextExchange = now
}
