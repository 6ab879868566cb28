package member

import (
	"math"
	"net/netip"
	"time"
)

const (
	// suspicionUnit times the binary logarithm of the number of members is how long a suspicion lasts. A longer one leaves
	// slow members more time to refute, a shorter one detects crashes earlier.
	suspicionUnit = 125 * time.Millisecond
	// suspicionMinimum is the shortest time that a suspicion lasts.
	suspicionMinimum = 500 * time.Millisecond
	// leniencyPeriod is how long a member that has refuted a suspicion is given twice the time.
	leniencyPeriod = time.Minute
)

// suspect begins to suspect a member.
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
	scaled := time.Duration(math.Log2(float64(m.running+1)) * float64(suspicionUnit))
	timeout := max(scaled, suspicionMinimum)
	if now < e.lenientUntil {
		timeout *= 2
	}
	return timeout
}

// advanceSuspicions declares the suspects dead whose deadline has passed.
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

// clearSuspicion ends the suspicion held here of a member that has answered. Other members wait for its own refutation, so
// that this is not broadcast and does not change the digest.
func (m *membership) clearSuspicion(address netip.AddrPort, generation uint64) {
	e := m.members[address]
	if e == nil || e.member.State != Suspect || e.member.Generation != generation {
		return
	}
	e.member.State = Alive
	m.tableChanged = true
}
