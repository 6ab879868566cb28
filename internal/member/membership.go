package member

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"nickelline/internal/driver"
)

// never is later than any time of the clock.
const never = driver.Never

const (
	// pauseTolerance is how late an event may be handled. A longer delay shows that this process was paused.
	pauseTolerance = 250 * time.Millisecond
	// longPause is the shortest pause after which the whole list is fetched again.
	longPause = time.Second
	// minPublishInterval is the shortest time from one published table to the next.
	minPublishInterval = 50 * time.Millisecond
)

// entry is what this process knows about one member.
type entry struct {
	member Member
	// suspicionDeadline is when a suspect is declared dead.
	suspicionDeadline time.Duration
	// extendedTimeoutUntil is set when the member refutes a suspicion: suspicions that begin before then last longer.
	extendedTimeoutUntil time.Duration
	// endedAt is when this process learned that the member died or left.
	endedAt time.Duration
}

// membership is the state machine of the protocol, run by a driver. Times are those of the driver's clock.
type membership struct {
	random  *rand.Rand
	self    *entry
	seeds   []netip.AddrPort // without the address of this process
	members map[netip.AddrPort]*entry
	order   []*entry // the entries of members, sorted by address
	running int      // number of alive or suspect members, this process included

	digest          uint64 // sum over the running members
	digestChangedAt time.Duration

	prober      prober
	broadcasts  broadcastQueue
	joiner      joiner
	antiEntropy antiEntropy
	leaver      leaver
	// suspicionDue is no later than the first deadline of a suspect.
	suspicionDue time.Duration

	tableChanged     bool // since the last published table
	tablePublishedAt time.Duration

	output output
}

// output is what the driver has to carry out.
type output struct {
	datagrams []datagram
	// exchange is the exchange to begin, nil for none.
	exchange *exchangeCall
	// publish is set if a new table has to be published.
	publish bool
	// left is set when enough members have acknowledged the leave, or all attempts are used up.
	left bool
}

func newMembership(self Member, seeds []netip.AddrPort, random *rand.Rand, now time.Duration) *membership {
	m := &membership{
		random:           random,
		self:             &entry{member: self},
		members:          make(map[netip.AddrPort]*entry),
		running:          1,
		tableChanged:     true,
		tablePublishedAt: now - minPublishInterval,
		suspicionDue:     never,
	}
	for _, seed := range seeds {
		if seed != self.Address {
			m.seeds = append(m.seeds, seed)
		}
	}
	m.digest = digestOf(&m.self.member)
	m.members[self.Address] = m.self
	m.order = []*entry{m.self}
	m.prober.start(now)
	m.broadcasts.start()
	m.joiner.start(now)
	m.antiEntropy.start()
	return m
}

// Next returns when Advance has to be called if no other event comes first.
func (m *membership) Next() time.Duration {
	if m.leaver.begun {
		return m.leaver.deadline
	}
	due := min(m.prober.due(), m.broadcasts.due, m.joiner.nextAttempt, m.antiEntropyDue(), m.suspicionDue)
	if m.tableChanged {
		due = min(due, m.tablePublishedAt+minPublishInterval)
	}
	return due
}

// Advance carries out everything that is due.
func (m *membership) Advance(now time.Duration) {
	m.detectPause(now)
	if m.leaver.begun {
		m.advanceLeaving(now)
		return
	}
	m.advanceSuspicions(now)
	m.advanceProbe(now)
	m.advanceJoining(now)
	m.advanceAntiEntropy(now)
	m.advanceBroadcasts(now)
	m.advancePublishing(now)
}

// Take returns the output collected since the last call. Before the start it returns none and keeps collecting.
func (m *membership) Take(started bool) output {
	if !started {
		return output{}
	}
	taken := m.output
	m.output = output{}
	if taken.exchange != nil {
		taken.exchange.request = exchangeRequest{digest: m.digest, self: m.self.member}
	}
	return taken
}

// detectPause detects a pause of this process by how late the event is. That no message was received during the pause
// says nothing about the other members: the current probe is abandoned, and suspicions are extended by the pause. Each
// event handler calls it first.
func (m *membership) detectPause(now time.Duration) {
	pause := now - m.Next()
	if pause < pauseTolerance {
		return
	}
	m.prober.current = nil
	m.prober.nextProbe = now
	for _, e := range m.order {
		if e.member.State == Suspect {
			e.suspicionDeadline += pause
		}
	}
	m.resetSuspicionDue()
	if pause >= longPause {
		m.joiner.restart(now)
		m.antiEntropy.restart(now)
	}
}

func (m *membership) advancePublishing(now time.Duration) {
	if m.tableChanged && now >= m.tablePublishedAt+minPublishInterval {
		m.tableChanged = false
		m.tablePublishedAt = now
		m.output.publish = true
	}
}

// table returns the table of all members.
func (m *membership) table() *Table {
	members := make([]Member, len(m.order))
	for i, e := range m.order {
		members[i] = e.member
	}
	return newTable(members)
}

// receive handles a datagram.
func (m *membership) receive(now time.Duration, from netip.AddrPort, received *message) {
	m.detectPause(now)
	if m.leaver.begun {
		m.receiveLeaveAck(received)
		return
	}
	wasRunning := m.isRunning(from)
	for i := range received.records {
		m.applyRecord(now, &received.records[i])
	}
	for _, asserted := range received.assertions {
		m.applyAssertion(now, asserted)
	}
	if wasRunning {
		m.compareDigest(now, from, received.digest)
	} else {
		m.recordJoin(now, from, received.running)
	}
	switch received.messageType {
	case pingMessage:
		m.receivePing(from, received)
	case ackMessage:
		m.receiveAck(from, received)
	case indirectPingMessage:
		m.receiveIndirectPing(now, from, received)
	case rumorMessage:
	}
	m.Advance(now)
}

// send queues a message with piggybacked updates. A receiver that may not know this member is sent its record. A receiver
// that is not considered alive is sent the assertion about itself, so that it can refute it.
func (m *membership) send(to netip.AddrPort, outgoing message) {
	e := m.members[to]
	if e == nil || !e.member.Running() {
		outgoing.records = append(outgoing.records, m.self.member)
	}
	if e != nil && e.member.State != Alive {
		outgoing.assertions = append(outgoing.assertions, e.member.assertion())
	}
	outgoing.running = uint32(m.running)
	outgoing.digest = m.digest
	m.piggyback(&outgoing)
	m.output.datagrams = append(m.output.datagrams, datagram{to: to, message: outgoing})
}

// ping sends a ping that is not a probe: its ack is not awaited. It makes the receiver and this member known to each
// other, or lets the receiver refute an assertion about itself.
func (m *membership) ping(to netip.AddrPort) {
	m.send(to, message{messageType: pingMessage, sequence: m.prober.nextSequence()})
}

func (m *membership) isRunning(address netip.AddrPort) bool {
	e := m.members[address]
	return e != nil && e.member.Running()
}

// pickRandom returns up to count running members at random, other than this process and the excluded one.
func (m *membership) pickRandom(count int, excluded netip.AddrPort) []netip.AddrPort {
	picked := make([]netip.AddrPort, 0, count)
	seen := 0
	for _, e := range m.order {
		address := e.member.Address
		if e == m.self || address == excluded || !e.member.Running() {
			continue
		}
		seen++
		if len(picked) < count {
			picked = append(picked, address)
			continue
		}
		if at := m.random.IntN(seen); at < count {
			picked[at] = address
		}
	}
	return picked
}

// insertEntry adds an entry to the list, and keeps the order sorted.
func (m *membership) insertEntry(e *entry) {
	m.members[e.member.Address] = e
	at, _ := slices.BinarySearchFunc(m.order, e.member.Address, func(e *entry, address netip.AddrPort) int {
		return compareAddress(e.member.Address, address)
	})
	m.order = slices.Insert(m.order, at, e)
}
