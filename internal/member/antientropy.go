package member

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// exchangeMinimum is the first time between exchanges of the list; it is doubled up to exchangeMaximum.
	exchangeMinimum = 600 * time.Millisecond
	exchangeMaximum = 30 * time.Second
	// exchangeRetry is the time to the next exchange after one that got no answer.
	exchangeRetry = 500 * time.Millisecond
	// convergenceTime is how long the own list has to be unchanged before a digest that differs shows that an update was
	// missed, instead of one that is still on its way.
	convergenceTime = 200 * time.Millisecond
	// forgetAfter is how long a member that died or left stays in the list.
	forgetAfter = 10 * time.Minute
)

// antiEntropy exchanges whole lists with other members, one at a time.
type antiEntropy struct {
	interval     time.Duration // between exchanges
	nextExchange time.Duration
	lastExchange time.Duration
	underWay     bool
	partner      netip.AddrPort // of the exchange under way, or of the last one
	rejoin       bool           // the partner was not known to be running before
	pendingJoin  netip.AddrPort // a member that has joined, with which the list has to be exchanged
	mismatch     netip.AddrPort // a member whose digest differs
}

func (a *antiEntropy) start() {
	a.interval = exchangeMinimum
	a.nextExchange = never
}

// restart exchanges the list at once and then often, after a pause.
func (a *antiEntropy) restart(now time.Duration) {
	a.interval = exchangeMinimum
	a.nextExchange = now
}

func (m *membership) antiEntropyDue() time.Duration {
	if m.antiEntropy.underWay || m.running == 1 {
		return never
	}
	return m.antiEntropy.nextExchange
}

func (m *membership) advanceAntiEntropy(now time.Duration) {
	exchanges := &m.antiEntropy
	switch {
	case exchanges.underWay:
	case m.running == 1:
		exchanges.nextExchange = never
	case exchanges.nextExchange == never:
		exchanges.nextExchange = now + jitter(m.random, exchanges.interval)
	case now >= exchanges.nextExchange:
		m.startExchange(now)
	}
}

// compareDigest exchanges lists with a member whose list still differs after the update of the last change had time to
// reach both.
func (m *membership) compareDigest(now time.Duration, from netip.AddrPort, digest uint64) {
	exchanges := &m.antiEntropy
	tooEarly := now < m.digestChangedAt+convergenceTime || now < exchanges.lastExchange+exchangeMinimum
	if digest == m.digest || tooEarly || exchanges.underWay || exchanges.pendingJoin.IsValid() {
		return
	}
	exchanges.mismatch = from
	exchanges.nextExchange = now
}

func (m *membership) startExchange(now time.Duration) {
	exchanges := &m.antiEntropy
	exchanges.rejoin = exchanges.pendingJoin.IsValid() && m.isRunning(exchanges.pendingJoin)
	exchanges.partner = exchanges.pendingJoin
	if !exchanges.rejoin {
		exchanges.partner = m.exchangePartner()
	}
	exchanges.pendingJoin = netip.AddrPort{}
	exchanges.mismatch = netip.AddrPort{}
	exchanges.lastExchange = now
	m.forget(now)
	exchanges.underWay = true
	m.output.exchange = &exchangeCall{to: exchanges.partner}
}

// exchangePartner returns the member whose digest differs, or any other one that is running.
func (m *membership) exchangePartner() netip.AddrPort {
	if m.antiEntropy.mismatch.IsValid() && m.isRunning(m.antiEntropy.mismatch) {
		return m.antiEntropy.mismatch
	}
	return m.pick(1, netip.AddrPort{})[0]
}

// answerExchange returns the list for a member that requests it.
func (m *membership) answerExchange(now time.Duration, request *exchangeRequest) exchangeAnswer {
	m.detectPause(now)
	answer := exchangeAnswer{}
	m.applyRecord(now, &request.self)
	if m.digest == request.digest {
		answer.equal = true
	} else {
		answer.records = m.table().All()
	}
	m.Advance(now)
	return answer
}

// exchangeFailed is called when an exchange got no answer.
func (m *membership) exchangeFailed(now time.Duration) {
	m.detectPause(now)
	exchanges := &m.antiEntropy
	exchanges.underWay = false
	if exchanges.rejoin && !exchanges.pendingJoin.IsValid() {
		exchanges.pendingJoin = exchanges.partner
	}
	exchanges.nextExchange = now + exchangeRetry
	m.Advance(now)
}

// exchanged merges the list of the partner of the exchange.
func (m *membership) exchanged(now time.Duration, answer *exchangeAnswer) {
	m.detectPause(now)
	exchanges := &m.antiEntropy
	exchanges.underWay = false
	exchanges.nextExchange = now + jitter(m.random, exchanges.interval)
	exchanges.interval = min(2*exchanges.interval, exchangeMaximum)
	if exchanges.pendingJoin.IsValid() {
		exchanges.nextExchange = now
	}
	for i := range answer.records {
		m.merge(now, &answer.records[i])
	}
	m.Advance(now)
}

// merge applies a record of another member's list.
func (m *membership) merge(now time.Duration, record *Member) {
	known := m.admit(now, record, m.broadcastMerged)
	if known == nil {
		return
	}
	theirs, ours := record.assertion(), known.member.assertion()
	switch {
	case theirs.state == Dead && known.member.Running() && theirs.generation == ours.generation:
		m.verifyDeath(now, known, theirs)
	case record.Running() && ours.state == Dead && theirs.generation == ours.generation && theirs.incarnation == ours.incarnation:
		m.reviveAfterPartition(now, known)
	case theirs.supersedes(ours):
		m.replaceRecord(now, known, record)
		m.broadcastMerged(now, record.Address)
	}
}

// verifyDeath is called when another member holds one to be dead that runs as far as known here: the member is suspected
// until it answers. If it is alive it refutes, and its refutation also reaches the other member.
func (m *membership) verifyDeath(now time.Duration, known *entry, theirs assertion) {
	if known.member.State != Alive || !theirs.supersedes(known.member.assertion()) {
		return
	}
	suspected := theirs
	suspected.state = Suspect
	m.setState(now, known, suspected)
	m.ping(known.member.Address)
}

// reviveAfterPartition is called when another member holds one to be running that is held to be dead here. A partner from
// the other side of a healed partition knows better. Any other may only have missed the update.
func (m *membership) reviveAfterPartition(now time.Duration, known *entry) {
	if !m.antiEntropy.rejoin {
		return
	}
	alive := known.member.assertion()
	alive.state = Alive
	m.setState(now, known, alive)
}

// broadcastMerged broadcasts what a member that has joined or rejoined brought. What any other brought was broadcast before.
func (m *membership) broadcastMerged(now time.Duration, address netip.AddrPort) {
	if m.antiEntropy.rejoin {
		m.enqueueBroadcast(now, address)
	}
}

// forget drops the members that died or left long ago.
func (m *membership) forget(now time.Duration) {
	m.order = slices.DeleteFunc(m.order, func(e *entry) bool {
		if e == m.self || e.member.Running() || now-e.endedAt < forgetAfter {
			return false
		}
		delete(m.members, e.member.Address)
		m.tableChanged = true
		return true
	})
}

// jitter varies a period by a quarter, so that members do not act all at the same time.
func jitter(random *rand.Rand, period time.Duration) time.Duration {
	return period*3/4 + time.Duration(random.Int64N(int64(period/2)))
}
