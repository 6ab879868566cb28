package member

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// probePeriod is the time from one probe to the next. A shorter period detects crashes earlier and costs more
	// datagrams.
	probePeriod = 400 * time.Millisecond
	// directTimeout is how long an ack may take before other members are asked to probe the target.
	directTimeout = 150 * time.Millisecond
	// probeTimeout is how long an ack may take, directly or indirectly, before the target is suspected.
	probeTimeout = 400 * time.Millisecond
	// indirectProbes is the number of members that are asked to probe the target.
	indirectProbes = 3
	// relayTimeout is how long this process waits for an ack that it has to pass on to another member.
	relayTimeout = time.Second

	// An ack that comes after the timeout shows that this process or the other one is slow, not dead: each late ack adds
	// lateAckWeight to a score by which the timeouts of probes grow, and each ack in time subtracts 1. This is the local
	// health multiplier of Lifeguard (Dadgar, Phillips, Currey, 2017), based on late acks only.
	lateAckWeight   = 4
	maxLateAckScore = 12
)

// prober probes the members in random order, one in each period.
type prober struct {
	sequence     uint64
	nextProbe    time.Duration
	current      *probe
	expired      *probe           // the last probe that timed out
	lateAckScore int              // weighted number of late acks, less the acks in time
	remaining    []netip.AddrPort // members left to be probed in this round
	relays       []relay
}

// probe is a probe in progress, or one that has timed out.
type probe struct {
	target           netip.AddrPort
	generation       uint64
	sequence         uint64
	indirectProbeDue time.Duration // when other members are asked; never once they have been
	deadline         time.Duration
}

// relay is a ping sent on behalf of another member.
type relay struct {
	sequence          uint64 // of the ping that this process sent
	requester         netip.AddrPort
	requesterSequence uint64
	deadline          time.Duration
}

func (p *prober) start(now time.Duration) { p.nextProbe = now }

func (p *prober) due() time.Duration {
	if p.current == nil {
		return p.nextProbe
	}
	return min(p.current.indirectProbeDue, p.current.deadline)
}

// scaleTimeout lengthens a timeout in proportion to the score of late acks.
func (p *prober) scaleTimeout(timeout time.Duration) time.Duration {
	return timeout + timeout*time.Duration(p.lateAckScore)/lateAckWeight
}

// recordAck updates the score of late acks with an ack. It reports whether the ack answers the current probe.
func (p *prober) recordAck(ack *message) (inTime bool) {
	if p.current != nil && p.current.answeredBy(ack) {
		p.lateAckScore = max(p.lateAckScore-1, 0)
		return true
	}
	if p.expired != nil && p.expired.answeredBy(ack) {
		p.expired = nil
		p.lateAckScore = min(p.lateAckScore+lateAckWeight, maxLateAckScore)
	}
	return false
}

func (p *probe) answeredBy(ack *message) bool {
	return p.sequence == ack.sequence && p.generation == ack.generation
}

// insert puts a new member at a random position of the current round, so that it does not have to wait for the next one.
func (p *prober) insert(random *rand.Rand, address netip.AddrPort) {
	if slices.Contains(p.remaining, address) {
		return
	}
	at := random.IntN(len(p.remaining) + 1)
	p.remaining = slices.Insert(p.remaining, at, address)
}

func (p *prober) nextSequence() uint64 {
	p.sequence++
	return p.sequence
}

func (m *membership) advanceProbe(now time.Duration) {
	current := m.prober.current
	if current != nil && now >= current.deadline {
		m.prober.current = nil
		m.prober.expired = current
		m.probeFailed(now, current)
	}
	current = m.prober.current
	if current != nil && now >= current.indirectProbeDue {
		current.indirectProbeDue = never
		m.probeIndirectly(current)
	}
	if m.prober.current == nil && now >= m.prober.nextProbe {
		m.startProbe(now)
	}
}

func (m *membership) startProbe(now time.Duration) {
	m.prober.nextProbe = now + probePeriod
	target := m.nextTarget()
	if target == nil {
		return
	}
	current := &probe{
		target:           target.member.Address,
		generation:       target.member.Generation,
		sequence:         m.prober.nextSequence(),
		indirectProbeDue: now + m.prober.scaleTimeout(directTimeout),
		deadline:         now + m.prober.scaleTimeout(probeTimeout),
	}
	m.prober.current = current
	m.send(current.target, message{messageType: pingMessage, sequence: current.sequence})
}

// nextTarget returns the next running member of the round, nil if there is none. It starts a new round if none are left.
func (m *membership) nextTarget() *entry {
	if len(m.prober.remaining) == 0 {
		m.startRound()
	}
	for len(m.prober.remaining) > 0 {
		last := len(m.prober.remaining) - 1
		address := m.prober.remaining[last]
		m.prober.remaining = m.prober.remaining[:last]
		target := m.members[address]
		if target != nil && target != m.self && target.member.Running() {
			return target
		}
	}
	return nil
}

func (m *membership) startRound() {
	round := m.prober.remaining[:0]
	for _, e := range m.order {
		if e != m.self && e.member.Running() {
			round = append(round, e.member.Address)
		}
	}
	m.random.Shuffle(len(round), func(i, j int) { round[i], round[j] = round[j], round[i] })
	m.prober.remaining = round
}

func (m *membership) probeIndirectly(current *probe) {
	for _, helper := range m.pickRandom(indirectProbes, current.target) {
		m.send(helper, message{messageType: indirectPingMessage, sequence: current.sequence, target: current.target})
	}
}

// probeFailed suspects the target of a probe that timed out, and pings it so that it can refute the suspicion.
func (m *membership) probeFailed(now time.Duration, failed *probe) {
	target := m.members[failed.target]
	if target == nil || target.member.State != Alive || target.member.Generation != failed.generation {
		return
	}
	m.suspect(now, target)
	m.enqueueBroadcast(now, failed.target)
	m.ping(failed.target)
}

func (m *membership) receivePing(from netip.AddrPort, ping *message) {
	m.send(from, message{messageType: ackMessage, sequence: ping.sequence, generation: m.self.member.Generation})
}

func (m *membership) receiveIndirectPing(now time.Duration, from netip.AddrPort, request *message) {
	sequence := m.prober.nextSequence()
	current := slices.DeleteFunc(m.prober.relays, func(r relay) bool { return now >= r.deadline })
	m.prober.relays = append(current, relay{
		sequence:          sequence,
		requester:         from,
		requesterSequence: request.sequence,
		deadline:          now + relayTimeout,
	})
	m.send(request.target, message{messageType: pingMessage, sequence: sequence})
}

// receiveAck ends the probe that the ack answers, and passes the ack on if the ping was sent on behalf of another member.
func (m *membership) receiveAck(from netip.AddrPort, ack *message) {
	if m.prober.recordAck(ack) {
		m.clearSuspicion(m.prober.current.target, ack.generation)
		m.prober.current = nil
	}
	m.clearSuspicion(from, ack.generation)
	for i, r := range m.prober.relays {
		if r.sequence == ack.sequence {
			m.prober.relays = slices.Delete(m.prober.relays, i, i+1)
			m.send(r.requester, message{messageType: ackMessage, sequence: r.requesterSequence, generation: ack.generation})
			return
		}
	}
}
