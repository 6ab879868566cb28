package member

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Times of meeting other members.
const (
	joinRetryMinimum = 100 * time.Millisecond
	joinRetryMaximum = time.Second
	// unmetRetryMaximum is for seeds that were never met, once other members are known.
	unmetRetryMaximum = 5 * time.Second

	reunionPeriod        = time.Second // between tries to reach a member that is lost, for few members
	reunionPeriodMaximum = 30 * time.Second
	reunionShare         = 16 // tries for each lost member in a period, by all members together

	exchangeMinimum = 600 * time.Millisecond // between exchanges of the list; doubled up to the maximum
	exchangeMaximum = 30 * time.Second
	exchangeRetry   = 500 * time.Millisecond
	// settleTime is how long the own list has to be unchanged before one that differs tells of something missed.
	settleTime = 200 * time.Millisecond
)

// meeter finds members that are not known or were lost, and exchanges lists.
type meeter struct {
	joinRetry    time.Duration
	nextReunion  time.Duration
	interval     time.Duration // of exchanges
	nextExchange time.Duration
	underWay     bool           // an exchange
	partner      netip.AddrPort // of the exchange under way
	reunion      bool           // the partner was lost before
	wanted       netip.AddrPort // member that was met again, with which the list has to be exchanged
	differing    netip.AddrPort // member whose list differs
	lastExchange time.Duration
}

func (m *meeter) start(now time.Duration) {
	m.joinRetry = joinRetryMinimum
	m.nextReunion = now
	m.interval = exchangeMinimum
	m.nextExchange = never
}

// refresh reads the list anew, after a pause.
func (m *meeter) refresh(now time.Duration) {
	m.interval = exchangeMinimum
	m.nextExchange = now
	m.nextReunion = now
	m.joinRetry = joinRetryMinimum
}

func (m *meeter) due(c *core) time.Duration {
	due := m.nextReunion
	if !m.underWay && c.running > 1 {
		due = min(due, m.nextExchange)
	}
	return due
}

func (c *core) advanceMeeting(now time.Duration) {
	m := &c.meeting
	if now >= m.nextReunion {
		c.reachOut(now)
	}
	switch {
	case m.underWay:
	case c.running == 1:
		m.nextExchange = never
	case m.nextExchange == never:
		m.nextExchange = now + jitter(c.random, m.interval)
	case now >= m.nextExchange:
		c.startExchange(now)
	}
}

// reachOut pings the seeds that were never met, and now and then a seed or member that is lost.
func (c *core) reachOut(now time.Duration) {
	m := &c.meeting
	lost := c.pickLost()
	c.pingLost(lost)
	unmet := c.pingUnmetSeeds()
	if c.running > 1 && !unmet {
		m.nextReunion = now + jitter(c.random, c.reunionPeriod())
		return
	}
	m.nextReunion = now + m.joinRetry
	longest := joinRetryMaximum
	if c.running > 1 {
		longest = unmetRetryMaximum
	}
	m.joinRetry = min(m.joinRetry*3/2, longest)
}

// reunionPeriod is longer where many members reach out to few.
func (c *core) reunionPeriod() time.Duration {
	lost := max(c.lostCount(), 1)
	period := reunionPeriod * time.Duration(c.running) / time.Duration(reunionShare*lost)
	return min(max(period, reunionPeriod), reunionPeriodMaximum)
}

// pingUnmetSeeds pings the seeds of which nothing is known, and tells whether there are any.
func (c *core) pingUnmetSeeds() bool {
	unmet := false
	for _, seed := range c.seeds {
		if c.members[seed] == nil {
			unmet = true
			c.pingLost(seed)
		}
	}
	return unmet
}

func (c *core) pingLost(address netip.AddrPort) {
	if address.IsValid() {
		c.send(address, message{messageType: pingMessage, sequence: c.probing.nextSequence()})
	}
}

func (c *core) lostCount() int {
	count := 0
	for _, e := range c.order {
		if e.member.State == Dead {
			count++
		}
	}
	return count
}

// pickLost chooses a dead member, or a seed that has left, at random.
func (c *core) pickLost() netip.AddrPort {
	var chosen netip.AddrPort
	seen := 0
	for _, e := range c.order {
		state := e.member.State
		lost := state == Dead || state == Left && slices.Contains(c.seeds, e.member.Address)
		if !lost {
			continue
		}
		seen++
		if c.random.IntN(seen) == 0 {
			chosen = e.member.Address
		}
	}
	return chosen
}

// met is called when a member was heard that was not known to be alive before. If it is now, and knows others, the list
// is exchanged with it.
func (c *core) met(now time.Duration, from netip.AddrPort, running uint32) {
	e := c.members[from]
	if e == nil || !e.member.Running() || running < 2 {
		return
	}
	c.meeting.wanted = from
	c.meeting.nextExchange = now
}

// compareDigest exchanges lists with a member whose list still differs after the news of the last change had time to
// reach both.
func (c *core) compareDigest(now time.Duration, from netip.AddrPort, digest uint64) {
	m := &c.meeting
	waiting := now < c.settled+settleTime || now < m.lastExchange+exchangeMinimum
	if digest == c.digest || waiting || m.underWay || m.wanted.IsValid() {
		return
	}
	m.differing = from
	m.nextExchange = now
}

func (c *core) startExchange(now time.Duration) {
	m := &c.meeting
	m.reunion = m.wanted.IsValid() && c.isRunning(m.wanted)
	m.partner = m.wanted
	if !m.reunion {
		m.partner = c.exchangePartner()
	}
	m.wanted = netip.AddrPort{}
	m.differing = netip.AddrPort{}
	m.lastExchange = now
	c.forget(now)
	m.underWay = true
	c.output.exchange = m.partner
}

// exchangePartner gives the member whose list differs, or any other one that is running.
func (c *core) exchangePartner() netip.AddrPort {
	if c.meeting.differing.IsValid() && c.isRunning(c.meeting.differing) {
		return c.meeting.differing
	}
	return c.pick(1, netip.AddrPort{})[0]
}

// exchangeRequest is what the partner of an exchange is asked.
func (c *core) exchangeRequest() exchangeRequest {
	return exchangeRequest{digest: c.digest, self: c.self.member}
}

// answerExchange gives the list to a member that asks for it.
func (c *core) answerExchange(now time.Duration, request *exchangeRequest) exchangeAnswer {
	c.enter(now)
	answer := exchangeAnswer{}
	c.applyRecord(now, &request.self)
	if c.digest == request.digest {
		answer.equal = true
	} else {
		answer.records = c.table().All()
	}
	c.advance(now)
	return answer
}

// exchangeFailed is called when an exchange got no answer.
func (c *core) exchangeFailed(now time.Duration) {
	c.enter(now)
	m := &c.meeting
	m.underWay = false
	if m.reunion && !m.wanted.IsValid() {
		m.wanted = m.partner
	}
	m.nextExchange = now + exchangeRetry
	c.advance(now)
}

// exchanged takes the list of another member.
func (c *core) exchanged(now time.Duration, answer *exchangeAnswer) {
	c.enter(now)
	m := &c.meeting
	m.underWay = false
	m.nextExchange = now + jitter(c.random, m.interval)
	m.interval = min(2*m.interval, exchangeMaximum)
	if m.wanted.IsValid() {
		m.nextExchange = now
	}
	for i := range answer.records {
		c.merge(now, &answer.records[i])
	}
	c.advance(now)
}

// merge takes a record of another member's list.
func (c *core) merge(now time.Duration, record *Member) {
	known := c.admit(now, record, c.spreadMerged)
	if known == nil {
		return
	}
	theirs, ours := record.claim(), known.member.claim()
	switch {
	case theirs.state == Dead && known.member.Running() && theirs.generation == ours.generation:
		c.dispute(now, known, theirs)
	case record.Running() && ours.state == Dead && theirs.generation == ours.generation && theirs.incarnation == ours.incarnation:
		c.believe(now, known)
	case theirs.supersedes(ours):
		c.set(now, known, record)
		c.spreadMerged(now, record.Address)
	}
}

// dispute is called when another member holds one to be dead that is not known here to be so: it is suspected until it
// answers. If it is alive it refutes, and so the other member hears of it.
func (c *core) dispute(now time.Duration, known *entry, theirs claim) {
	if known.member.State != Alive || !theirs.supersedes(known.member.claim()) {
		return
	}
	c.suspect(now, known)
	known.member.Incarnation = theirs.incarnation
	c.send(known.member.Address, message{messageType: pingMessage, sequence: c.probing.nextSequence()})
}

// believe is called when another member holds one to be alive that is held to be dead here. One from the other side of a
// healed cut knows better. Any other may only have heard less.
func (c *core) believe(now time.Duration, known *entry) {
	if !c.meeting.reunion {
		return
	}
	change := known.member.claim()
	change.state = Alive
	c.setState(now, known, change)
}

// spreadMerged spreads what a member that was lost has told. Otherwise the others have heard it already.
func (c *core) spreadMerged(now time.Duration, address netip.AddrPort) {
	if c.meeting.reunion {
		c.enqueue(now, address)
	}
}

// forget drops the members that are dead for long.
func (c *core) forget(now time.Duration) {
	c.order = slices.DeleteFunc(c.order, func(e *entry) bool {
		if e == c.self || e.member.Running() || now-e.ended < forgetAfter {
			return false
		}
		delete(c.members, e.member.Address)
		c.changed = true
		return true
	})
}

// The digest is made of the FNV-1a hashes of the members.
const (
	digestBytes = 24
	fnvOffset   = 14695981039346656037
	fnvPrime    = 1099511628211
)

func digestOf(m *Member) uint64 {
	var data [digestBytes]byte
	binary.LittleEndian.PutUint64(data[:], packAddress(m.Address))
	binary.LittleEndian.PutUint64(data[8:], m.Generation)
	binary.LittleEndian.PutUint64(data[16:], m.Incarnation)
	hash := uint64(fnvOffset)
	for _, b := range data {
		hash ^= uint64(b)
		hash *= fnvPrime
	}
	return hash
}

// jitter varies a period by a quarter, so that members do not act all at the same time.
func jitter(random *rand.Rand, period time.Duration) time.Duration {
	return period*3/4 + time.Duration(random.Int64N(int64(period/2)))
}
