package member

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// broadcastDelay is how long updates are collected before they are sent in a rumor.
	broadcastDelay = 30 * time.Millisecond
	// broadcastFanout is the number of members that a rumor is sent to.
	broadcastFanout = 4
	// maxRumorsPerTarget is the largest number of rumors sent to each of these members at one time.
	maxRumorsPerTarget = 6

	rumorBudgetBytes     = 1100 // of updates in a rumor
	piggybackBudgetBytes = 500  // of updates on a probe or ack

	// Estimates of encoded sizes, in bytes.
	recordBytes      = 80 // of a record without its text fields
	assertionBytes   = 32
	textPaddingBytes = 8 // of each text field
)

// broadcast refers to a member whose newest record or assertion is still being disseminated.
type broadcast struct {
	address       netip.AddrPort
	transmissions int
	unsent        bool // not yet sent in a rumor
}

// broadcastQueue holds the broadcasts, with the newest last.
type broadcastQueue struct {
	broadcasts []broadcast
	due        time.Duration // when the next rumors are sent
}

func (q *broadcastQueue) start() { q.due = never }

// enqueueBroadcast queues the current record of a member for broadcasting. It replaces an earlier one of the member.
func (m *membership) enqueueBroadcast(now time.Duration, address netip.AddrPort) {
	queue := &m.broadcasts
	queue.broadcasts = slices.DeleteFunc(queue.broadcasts, func(b broadcast) bool { return b.address == address })
	queue.broadcasts = append(queue.broadcasts, broadcast{address: address, unsent: true})
	queue.due = min(queue.due, now+broadcastDelay)
}

// transmitLimit returns how many times a broadcast is sent, first in a rumor and then on probes and acks.
func (m *membership) transmitLimit() int {
	return broadcastFanout + int(math.Ceil(math.Log2(float64(m.running+1))))
}

// advanceBroadcasts sends the unsent broadcasts to a few members, which pass on what is new to them.
func (m *membership) advanceBroadcasts(now time.Duration) {
	queue := &m.broadcasts
	if now < queue.due {
		return
	}
	queue.due = never
	targets := m.pickRandom(broadcastFanout, netip.AddrPort{})
	if len(targets) == 0 {
		queue.broadcasts = nil
		return
	}
	for range maxRumorsPerTarget {
		if !m.sendRumor(targets) {
			return
		}
	}
	if slices.ContainsFunc(queue.broadcasts, func(b broadcast) bool { return b.unsent }) {
		queue.due = now + broadcastDelay
	}
}

// sendRumor sends one rumor to the targets. It reports whether there was anything to send.
func (m *membership) sendRumor(targets []netip.AddrPort) bool {
	rumor := message{messageType: rumorMessage}
	m.attachBroadcasts(&rumor, rumorBudgetBytes, len(targets), true)
	if len(rumor.records)+len(rumor.assertions) == 0 {
		return false
	}
	rumor.running = uint32(m.running)
	rumor.digest = m.digest
	for _, target := range targets {
		m.output.datagrams = append(m.output.datagrams, datagram{to: target, message: rumor})
	}
	return true
}

// piggyback adds broadcasts to a message that is sent to one member anyway.
func (m *membership) piggyback(outgoing *message) {
	m.attachBroadcasts(outgoing, piggybackBudgetBytes, 1, false)
}

// attachBroadcasts adds broadcasts of up to budget bytes to a message for the given number of receivers, the newest
// first. Broadcasts that reach the transmit limit with this message are removed from the queue.
func (m *membership) attachBroadcasts(outgoing *message, budget, receivers int, unsentOnly bool) {
	queue := &m.broadcasts
	limit := m.transmitLimit()
	for i := len(queue.broadcasts) - 1; i >= 0; i-- {
		b := &queue.broadcasts[i]
		if unsentOnly && !b.unsent {
			continue
		}
		e := m.members[b.address]
		if e == nil {
			b.transmissions = limit
			continue
		}
		size := updateSize(&e.member)
		if size > budget {
			break
		}
		budget -= size
		b.transmissions += receivers
		if unsentOnly {
			b.unsent = false
		}
		attachUpdate(outgoing, &e.member)
	}
	queue.broadcasts = slices.DeleteFunc(queue.broadcasts, func(b broadcast) bool {
		return !b.unsent && b.transmissions >= limit
	})
}

// attachUpdate adds the record of a member that is alive, and only the assertion about any other.
func attachUpdate(outgoing *message, member *Member) {
	if member.State == Alive {
		outgoing.records = append(outgoing.records, *member)
		return
	}
	outgoing.assertions = append(outgoing.assertions, member.assertion())
}

// updateSize estimates how many bytes attachUpdate adds to a message.
func updateSize(member *Member) int {
	if member.State != Alive {
		return assertionBytes
	}
	texts := len(member.Name) + len(member.Role) + len(member.Zone) + len(member.Region)
	return recordBytes + texts + 4*textPaddingBytes
}
