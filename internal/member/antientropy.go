package member

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// minExchangeInterval is the initial interval between exchanges of the list, which doubles up to maxExchangeInterval.
	minExchangeInterval = 600 * time.Millisecond
	maxExchangeInterval = 30 * time.Second
	// exchangeRetryDelay is the time to the next exchange after one that got no response.
	exchangeRetryDelay = 500 * time.Millisecond
	// convergenceTime is how long the local list has to be unchanged before a different digest shows that an update was
	// missed. Before that, the update may still be in transit.
	convergenceTime = 200 * time.Millisecond
	// forgetAfter is how long a member that died or left stays in the list.
	forgetAfter = 10 * time.Minute
)

// antiEntropy schedules exchanges of whole lists with other members, one at a time.
type antiEntropy struct {
	interval     time.Duration // between exchanges
	nextExchange time.Duration
	lastExchange time.Duration
	inProgress   bool
	partner      netip.AddrPort // of the current exchange, or of the last one
	rejoin       bool           // the partner was not known to be running until it sent a message
	pendingJoin  netip.AddrPort // a member that has joined, for the next exchange
	mismatch     netip.AddrPort // a member whose digest differs from the local one
}

func (a *antiEntropy) start() {
	a.interval = minExchangeInterval
	a.nextExchange = never
}

// restart schedules an exchange at once, after a pause of this process, and resets the interval.
func (a *antiEntropy) restart(now time.Duration) {
	a.interval = minExchangeInterval
	a.nextExchange = now
}

func (m *membership) antiEntropyDue() time.Duration {
	if m.antiEntropy.inProgress || m.running == 1 {
		return never
	}
	return m.antiEntropy.nextExchange
}

func (m *membership) advanceAntiEntropy(now time.Duration) {
	exchanges := &m.antiEntropy
	switch {
	case exchanges.inProgress:
	case m.running == 1:
		exchanges.nextExchange = never
	case exchanges.nextExchange == never:
		exchanges.nextExchange = now + jitter(m.random, exchanges.interval)
	case now >= exchanges.nextExchange:
		m.startExchange(now)
	}
}

// compareDigest schedules an exchange with a member whose digest still differs once the update about the last change
// has had time to reach both.
func (m *membership) compareDigest(now time.Duration, from netip.AddrPort, digest uint64) {
	exchanges := &m.antiEntropy
	tooEarly := now < m.digestChangedAt+convergenceTime || now < exchanges.lastExchange+minExchangeInterval
	if digest == m.digest || tooEarly || exchanges.inProgress || exchanges.pendingJoin.IsValid() {
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
	exchanges.inProgress = true
	m.output.exchange = &exchangeCall{to: exchanges.partner}
}

// exchangePartner returns the member whose digest differs from the local one, if it runs, and otherwise a random running
// member.
func (m *membership) exchangePartner() netip.AddrPort {
	if m.antiEntropy.mismatch.IsValid() && m.isRunning(m.antiEntropy.mismatch) {
		return m.antiEntropy.mismatch
	}
	return m.pickRandom(1, netip.AddrPort{})[0]
}

// handleExchangeRequest applies the record of the requester. It returns the local list, unless the digests are equal.
func (m *membership) handleExchangeRequest(now time.Duration, request *exchangeRequest) exchangeResponse {
	m.detectPause(now)
	response := exchangeResponse{}
	m.applyRecord(now, &request.self)
	if m.digest == request.digest {
		response.equal = true
	} else {
		response.records = m.table().All()
	}
	m.Advance(now)
	return response
}

// exchangeFailed handles the failure of an exchange: it schedules another one.
func (m *membership) exchangeFailed(now time.Duration) {
	m.detectPause(now)
	exchanges := &m.antiEntropy
	exchanges.inProgress = false
	if exchanges.rejoin && !exchanges.pendingJoin.IsValid() {
		exchanges.pendingJoin = exchanges.partner
	}
	exchanges.nextExchange = now + exchangeRetryDelay
	m.Advance(now)
}

// exchangeSucceeded merges the list of the partner and schedules the next exchange.
func (m *membership) exchangeSucceeded(now time.Duration, response *exchangeResponse) {
	m.detectPause(now)
	exchanges := &m.antiEntropy
	exchanges.inProgress = false
	exchanges.nextExchange = now + jitter(m.random, exchanges.interval)
	exchanges.interval = min(2*exchanges.interval, maxExchangeInterval)
	if exchanges.pendingJoin.IsValid() {
		exchanges.nextExchange = now
	}
	for i := range response.records {
		m.merge(now, &response.records[i])
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

// verifyDeath is called when the exchange partner considers a member dead that runs according to the local list: the
// member is suspected until it answers. If it is alive, it refutes the suspicion, and the refutation also reaches the
// partner.
func (m *membership) verifyDeath(now time.Duration, known *entry, theirs assertion) {
	if known.member.State != Alive || !theirs.supersedes(known.member.assertion()) {
		return
	}
	suspected := theirs
	suspected.state = Suspect
	m.setState(now, known, suspected)
	m.ping(known.member.Address)
}

// reviveAfterPartition is called when the exchange partner considers a member running that is dead according to the
// local list. A partner from the other side of a healed partition could reach the member during the partition, so its
// record is adopted. Any other partner may have missed the update about the death.
func (m *membership) reviveAfterPartition(now time.Duration, known *entry) {
	if !m.antiEntropy.rejoin {
		return
	}
	alive := known.member.assertion()
	alive.state = Alive
	m.setState(now, known, alive)
}

// broadcastMerged broadcasts an update from the list of a partner that has joined or rejoined. Updates from the list of
// any other partner have been broadcast before.
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

// jitter returns the period with a random deviation of up to a quarter, so that members do not act at the same time.
func jitter(random *rand.Rand, period time.Duration) time.Duration {
	return period*3/4 + time.Duration(random.Int64N(int64(period/2)))
}
