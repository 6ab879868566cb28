package member

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// broadcastDelay is the time in which updates gather for one datagram.
	broadcastDelay = 30 * time.Millisecond
	// broadcastFanout is the number of members that a rumour is sent to.
	broadcastFanout = 4
	// broadcastDatagrams is the largest number of rumours sent to each of them at one time.
	broadcastDatagrams = 6

	rumourBudget    = 1100 // bytes of updates in a rumour
	piggybackBudget = 500  // bytes of updates on a probe or ack

	// Estimates of encoded sizes, in bytes.
	recordBytes      = 80 // of a record, without its texts
	assertionBytes   = 32
	textPaddingBytes = 8 // of each text
)

// broadcast is a member whose newest record or state is still being disseminated.
type broadcast struct {
	address       netip.AddrPort
	transmissions int
	unsent        bool // in a rumour
}

// broadcastQueue holds the broadcasts, the newest last.
type broadcastQueue struct {
	broadcasts []broadcast
	due        time.Duration // of the next rumour
}

func (q *broadcastQueue) start() { q.due = never }

// enqueueBroadcast broadcasts the present record of a member, instead of an earlier one.
func (m *membership) enqueueBroadcast(now time.Duration, address netip.AddrPort) {
	queue := &m.broadcasts
	queue.broadcasts = slices.DeleteFunc(queue.broadcasts, func(b broadcast) bool { return b.address == address })
	queue.broadcasts = append(queue.broadcasts, broadcast{address: address, unsent: true})
	queue.due = min(queue.due, now+broadcastDelay)
}

// transmitLimit returns how often a broadcast is sent: in its rumour, and then on probes and acks.
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
	targets := m.pick(broadcastFanout, netip.AddrPort{})
	if len(targets) == 0 {
		queue.broadcasts = nil
		return
	}
	for range broadcastDatagrams {
		if !m.sendRumour(targets) {
			return
		}
	}
	if slices.ContainsFunc(queue.broadcasts, func(b broadcast) bool { return b.unsent }) {
		queue.due = now + broadcastDelay
	}
}

// sendRumour sends one rumour to the targets. It reports whether there was anything to send.
func (m *membership) sendRumour(targets []netip.AddrPort) bool {
	rumour := message{messageType: rumourMessage}
	m.attach(&rumour, rumourBudget, len(targets), true)
	if len(rumour.records)+len(rumour.assertions) == 0 {
		return false
	}
	rumour.running = uint32(m.running)
	rumour.digest = m.digest
	for _, target := range targets {
		m.output.datagrams = append(m.output.datagrams, datagram{to: target, message: rumour})
	}
	return true
}

// piggyback adds broadcasts to a message that is sent to one member anyway.
func (m *membership) piggyback(outgoing *message) { m.attach(outgoing, piggybackBudget, 1, false) }

// attach adds broadcasts of up to budget bytes to a message, the newest first. The message is to be sent to so many members:
// broadcasts that were sent often enough with it are dropped.
func (m *membership) attach(outgoing *message, budget, receivers int, unsentOnly bool) {
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

// attachUpdate adds the record of a member that is alive, and the bare assertion of any other.
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
