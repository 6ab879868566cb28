package member

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Times of the protocol.
const (
	probePeriod   = 400 * time.Millisecond // from one probe to the next
	directTimeout = 150 * time.Millisecond // after it others are asked to probe
	probeTimeout  = 400 * time.Millisecond // after it the member is suspect

	suspicionUnit    = 125 * time.Millisecond // times the binary logarithm of the number of members
	suspicionMinimum = 500 * time.Millisecond
	slowSpan         = time.Minute // in which a member that has refuted a suspicion is given twice the time

	pauseTolerance = 250 * time.Millisecond // an event later than this: the process itself was held up
	longPause      = time.Second            // after it the list is read anew
	forgetAfter    = 10 * time.Minute       // since a member died or left
	publishPeriod  = 50 * time.Millisecond  // at least, from one table to the next
)

const indirectProbes = 3

// never is later than any reading of the clock.
const never = time.Duration(math.MaxInt64)

// entry is what is known of one member.
type entry struct {
	member Member
	// deadline ends the suspicion of a suspect.
	deadline time.Duration
	// slowUntil is set when it has refuted a suspicion: it is given more time for a while.
	slowUntil time.Duration
	// ended is when a dead member died or left, as far as known here.
	ended time.Duration
}

// core is the state machine of membership. Times are readings of a steady clock. After each event the output is taken
// by take, and advance is to be called at the time given by next.
type core struct {
	random  *rand.Rand
	self    *entry
	seeds   []netip.AddrPort // without the own address
	members map[netip.AddrPort]*entry
	order   []*entry      // the same, sorted by address
	running int           // members alive or suspect, the own one included
	digest  uint64        // sum over those members
	settled time.Duration // when digest changed last

	probing   prober
	spreading spreader
	meeting   meeter
	leaving   leaver

	changed   bool // since the last table
	published time.Duration

	output output
}

// output is what the driver has to do.
type output struct {
	datagrams []datagram
	// exchange asks for a call of the member with an exchange request, if it is valid.
	exchange netip.AddrPort
	// publish tells that the table is to be made anew.
	publish bool
	// left tells that enough members know that this one has left.
	left bool
}

func newCore(self Member, seeds []netip.AddrPort, random *rand.Rand, now time.Duration) *core {
	c := &core{
		random:    random,
		self:      &entry{member: self},
		members:   make(map[netip.AddrPort]*entry),
		running:   1,
		changed:   true,
		published: now - publishPeriod,
	}
	for _, seed := range seeds {
		if seed != self.Address {
			c.seeds = append(c.seeds, seed)
		}
	}
	c.digest = digestOf(&c.self.member)
	c.members[self.Address] = c.self
	c.order = []*entry{c.self}
	c.probing.start(now)
	c.spreading.start()
	c.meeting.start(now)
	return c
}

// next is when advance has to be called, if no event comes before.
func (c *core) next() time.Duration {
	if c.leaving.begun {
		return c.leaving.deadline
	}
	due := min(c.probing.due(), c.spreading.due, c.meeting.due(c), c.probing.suspicionDue)
	if c.changed {
		due = min(due, c.published+publishPeriod)
	}
	return due
}

// advance does what is due.
func (c *core) advance(now time.Duration) {
	c.enter(now)
	if c.leaving.begun {
		c.advanceLeaving(now)
		return
	}
	c.advanceSuspicions(now)
	c.advanceProbe(now)
	c.advanceMeeting(now)
	c.advanceSpreading(now)
	c.publish(now)
}

// enter notices when the process was held up: what it did not hear meanwhile says nothing about the others.
func (c *core) enter(now time.Duration) {
	late := now - c.next()
	if late < pauseTolerance {
		return
	}
	c.probing.current = nil
	c.probing.nextProbe = now
	for _, e := range c.order {
		if e.member.State == Suspect {
			e.deadline += late
		}
	}
	c.resetSuspicionDue()
	if late >= longPause {
		c.meeting.refresh(now)
	}
}

func (c *core) publish(now time.Duration) {
	if c.changed && now >= c.published+publishPeriod {
		c.changed = false
		c.published = now
		c.output.publish = true
	}
}

// take gives what is to be done since the last call.
func (c *core) take() output {
	taken := c.output
	c.output = output{}
	return taken
}

// table makes the table of all members.
func (c *core) table() *Table {
	members := make([]Member, len(c.order))
	for i, e := range c.order {
		members[i] = e.member
	}
	return newTable(members)
}

// updateSelf changes the own record.
func (c *core) updateSelf(now time.Duration, change func(*Member)) {
	c.alter(now, c.self, func(self *Member) {
		address, generation := self.Address, self.Generation
		change(self)
		self.Address = address
		self.Generation = generation
	})
	c.announceSelf(now, c.self.member.Incarnation+1)
	c.advance(now)
}

// announceSelf raises the own incarnation and spreads the record at once.
func (c *core) announceSelf(now time.Duration, incarnation uint64) {
	c.alter(now, c.self, func(self *Member) { self.Incarnation = incarnation })
	c.enqueue(now, c.self.member.Address)
	c.spreading.due = now
}

// receive takes a message from a member.
func (c *core) receive(now time.Duration, from netip.AddrPort, m *message) {
	c.enter(now)
	if c.leaving.begun {
		c.receiveLeaving(m)
		return
	}
	sender := c.members[from]
	lost := sender == nil || !sender.member.Running()
	for i := range m.records {
		c.applyRecord(now, &m.records[i])
	}
	for _, claim := range m.claims {
		c.applyClaim(now, claim)
	}
	if lost {
		c.met(now, from, m.running)
	} else {
		c.compareDigest(now, from, m.digest)
	}
	switch m.messageType {
	case pingMessage:
		c.receivePing(from, m)
	case ackMessage:
		c.receiveAck(from, m)
	case indirectPingMessage:
		c.receiveIndirectPing(now, from, m)
	case rumourMessage:
	}
	c.advance(now)
}

// applyRecord takes a record that a datagram carried.
func (c *core) applyRecord(now time.Duration, record *Member) {
	known := c.admit(now, record, c.enqueue)
	if known != nil && record.claim().supersedes(known.member.claim()) {
		c.set(now, known, record)
		c.enqueue(now, record.Address)
	}
}

// admit gives the entry of the member that a record describes. It is nil, and the record is done with, if it is of this
// process, or of a member that was not known until now; one that runs is added and spread.
func (c *core) admit(now time.Duration, record *Member, spread func(time.Duration, netip.AddrPort)) *entry {
	if record.Address == c.self.member.Address {
		c.refute(now, record.claim())
		return nil
	}
	known := c.members[record.Address]
	if known == nil && record.Running() {
		c.add(now, record)
		spread(now, record.Address)
	}
	return known
}

// applyClaim takes a change of state that a datagram carried.
func (c *core) applyClaim(now time.Duration, change claim) {
	if change.address == c.self.member.Address {
		c.refute(now, change)
		return
	}
	known := c.members[change.address]
	if known != nil && change.supersedes(known.member.claim()) {
		c.setState(now, known, change)
		c.enqueue(now, change.address)
	}
}

// refute answers what is held of this process, or of an earlier one at its address, by a higher incarnation.
func (c *core) refute(now time.Duration, held claim) {
	own := c.self.member.claim()
	if held.incarnation < own.incarnation || held == own {
		return
	}
	c.announceSelf(now, held.incarnation+1)
}

func (c *core) add(now time.Duration, record *Member) {
	e := &entry{member: Member{Address: record.Address, State: Dead}}
	c.members[record.Address] = e
	at, _ := slices.BinarySearchFunc(c.order, record.Address, func(e *entry, address netip.AddrPort) int {
		return compareAddress(e.member.Address, address)
	})
	c.order = slices.Insert(c.order, at, e)
	c.set(now, e, record)
}

// set replaces the record of a member.
func (c *core) set(now time.Duration, e *entry, record *Member) {
	c.alter(now, e, func(m *Member) { *m = *record })
}

func (c *core) setState(now time.Duration, e *entry, change claim) {
	c.alter(now, e, func(m *Member) {
		m.Generation = change.generation
		m.Incarnation = change.incarnation
		m.State = change.state
	})
}

// alter changes a member and keeps what depends on it up to date.
func (c *core) alter(now time.Duration, e *entry, change func(*Member)) {
	before, ran := digestOf(&e.member), e.member.Running()
	suspected := e.member
	change(&e.member)
	if suspected.State == Suspect && e.member.State == Alive && suspected.Generation == e.member.Generation {
		e.slowUntil = now + slowSpan
	}
	after, runs := digestOf(&e.member), e.member.Running()
	if ran {
		c.running--
		c.digest -= before
	}
	if runs {
		c.running++
		c.digest += after
	}
	if ran != runs || before != after {
		c.settled = now
	}
	if runs && !ran {
		c.probing.insert(c.random, e.member.Address)
	}
	c.changed = true
	switch e.member.State {
	case Suspect:
		e.deadline = now + c.suspicionTimeout(now, e)
		c.probing.suspicionDue = min(c.probing.suspicionDue, e.deadline)
	case Dead, Left:
		e.ended = now
	}
}

func (c *core) suspicionTimeout(now time.Duration, e *entry) time.Duration {
	scaled := time.Duration(math.Log2(float64(c.running+1)) * float64(suspicionUnit))
	timeout := max(scaled, suspicionMinimum)
	if now < e.slowUntil {
		timeout *= 2
	}
	return timeout
}

func (c *core) isRunning(address netip.AddrPort) bool {
	e := c.members[address]
	return e != nil && e.member.Running()
}

// pick chooses up to count members at random, which are running, and neither this process nor the one left out.
func (c *core) pick(count int, except netip.AddrPort) []netip.AddrPort {
	picked := make([]netip.AddrPort, 0, count)
	seen := 0
	for _, e := range c.order {
		address := e.member.Address
		if e == c.self || address == except || !e.member.Running() {
			continue
		}
		seen++
		if len(picked) < count {
			picked = append(picked, address)
			continue
		}
		if at := c.random.IntN(seen); at < count {
			picked[at] = address
		}
	}
	return picked
}
