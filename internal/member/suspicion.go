package member

import (
	"math"
	"net/netip"
	"time"
)

const (
	// suspicionTimeoutUnit times the binary logarithm of the number of members is how long a suspicion lasts. A longer
	// timeout leaves slow members more time to refute, a shorter one detects crashes earlier.
	suspicionTimeoutUnit = 125 * time.Millisecond
	// minSuspicionTimeout is the shortest time that a suspicion lasts.
	minSuspicionTimeout = 500 * time.Millisecond
	// extendedTimeoutPeriod is how long, after a member has refuted a suspicion, new suspicions of it last twice as long.
	extendedTimeoutPeriod = time.Minute
)

// suspect marks a member as suspect.
func (m *membership) suspect(now time.Duration, e *entry) {
	suspected := e.member.assertion()
	suspected.state = Suspect
	m.setState(now, e, suspected)
}

// beginSuspicion sets the deadline of a member that has become suspect.
func (m *membership) beginSuspicion(now time.Duration, e *entry) {
	e.suspicionDeadline = now + m.suspicionTimeout(now, e)
	m.suspicionDue = min(m.suspicionDue, e.suspicionDeadline)
}

func (m *membership) suspicionTimeout(now time.Duration, e *entry) time.Duration {
	scaled := time.Duration(math.Log2(float64(m.running+1)) * float64(suspicionTimeoutUnit))
	timeout := max(scaled, minSuspicionTimeout)
	if now < e.extendedTimeoutUntil {
		timeout *= 2
	}
	return timeout
}

// advanceSuspicions declares those suspects dead whose deadline has passed.
func (m *membership) advanceSuspicions(now time.Duration) {
	if now < m.suspicionDue {
		return
	}
	for _, e := range m.order {
		if e.member.State != Suspect || now < e.suspicionDeadline {
			continue
		}
		dead := e.member.assertion()
		dead.state = Dead
		m.setState(now, e, dead)
		m.enqueueBroadcast(now, e.member.Address)
	}
	m.resetSuspicionDue()
}

func (m *membership) resetSuspicionDue() {
	m.suspicionDue = never
	for _, e := range m.order {
		if e.member.State == Suspect {
			m.suspicionDue = min(m.suspicionDue, e.suspicionDeadline)
		}
	}
}

// clearSuspicion ends the local suspicion of a member that has answered. The change is not broadcast and leaves the
// digest as it is, because the other members wait for the refutation by the member itself.
func (m *membership) clearSuspicion(address netip.AddrPort, generation uint64) {
	e := m.members[address]
	if e == nil || e.member.State != Suspect || e.member.Generation != generation {
		return
	}
	e.member.State = Alive
	m.tableChanged = true
}
