package member

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// relayTimeout is how long an ack is passed on to the member that asked for the probe.
	relayTimeout = time.Second

	// An ack that comes after the time-out tells that this process or the other one is slow, not dead: the time-outs of
	// probes grow with the number of late acks, and shrink with each in time.
	lateAckWeight   = 4
	slownessMaximum = 12
)

// prober probes the members in a random order, one in each period, and holds the suspicions.
type prober struct {
	sequence     uint64
	nextProbe    time.Duration
	current      *probe
	expired      *probe           // the last one that timed out
	slowness     int              // late acks, weighed, less those in time
	remaining    []netip.AddrPort // of this round
	relays       []relay
	suspicionDue time.Duration // no later than the first deadline of a suspect
}

// probe is the one that is under way.
type probe struct {
	target       netip.AddrPort
	generation   uint64
	sequence     uint64
	indirectTime time.Duration // when others are asked; never once they are
	deadline     time.Duration
}

// relay is a probe made for another member.
type relay struct {
	sequence    uint64 // of this process
	asker       netip.AddrPort
	askSequence uint64
	deadline    time.Duration
}

func (p *prober) start(now time.Duration) {
	p.nextProbe = now
	p.suspicionDue = never
}

func (p *prober) due() time.Duration {
	if p.current == nil {
		return p.nextProbe
	}
	return min(p.current.indirectTime, p.current.deadline)
}

// stretch lengthens a time-out by the slowness.
func (p *prober) stretch(timeout time.Duration) time.Duration {
	return timeout + timeout*time.Duration(p.slowness)/lateAckWeight
}

// noteAck learns from an ack whether probes are answered in time.
func (p *prober) noteAck(m *message) (inTime bool) {
	if p.current != nil && p.current.answeredBy(m) {
		p.slowness = max(p.slowness-1, 0)
		return true
	}
	if p.expired != nil && p.expired.answeredBy(m) {
		p.expired = nil
		p.slowness = min(p.slowness+lateAckWeight, slownessMaximum)
	}
	return false
}

func (p *probe) answeredBy(m *message) bool {
	return p.sequence == m.sequence && p.generation == m.generation
}

// insert puts a new member at a random place of the round, so that it is not left unprobed for the rest of it.
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

func (c *core) advanceProbe(now time.Duration) {
	current := c.probing.current
	if current != nil && now >= current.deadline {
		c.probing.current = nil
		c.probing.expired = current
		c.probeFailed(now, current)
	}
	current = c.probing.current
	if current != nil && now >= current.indirectTime {
		current.indirectTime = never
		c.probeIndirectly(current)
	}
	if c.probing.current == nil && now >= c.probing.nextProbe {
		c.startProbe(now)
	}
}

func (c *core) startProbe(now time.Duration) {
	c.probing.nextProbe = now + probePeriod
	target := c.nextTarget()
	if target == nil {
		return
	}
	current := &probe{
		target:       target.member.Address,
		generation:   target.member.Generation,
		sequence:     c.probing.nextSequence(),
		indirectTime: now + c.probing.stretch(directTimeout),
		deadline:     now + c.probing.stretch(probeTimeout),
	}
	c.probing.current = current
	c.send(current.target, message{messageType: pingMessage, sequence: current.sequence})
}

// nextTarget gives the next running member of the round. A new round begins when one is over.
func (c *core) nextTarget() *entry {
	if len(c.probing.remaining) == 0 {
		c.startRound()
	}
	for len(c.probing.remaining) > 0 {
		last := len(c.probing.remaining) - 1
		address := c.probing.remaining[last]
		c.probing.remaining = c.probing.remaining[:last]
		target := c.members[address]
		if target != nil && target != c.self && target.member.Running() {
			return target
		}
	}
	return nil
}

func (c *core) startRound() {
	round := c.probing.remaining[:0]
	for _, e := range c.order {
		if e != c.self && e.member.Running() {
			round = append(round, e.member.Address)
		}
	}
	c.random.Shuffle(len(round), func(i, j int) { round[i], round[j] = round[j], round[i] })
	c.probing.remaining = round
}

func (c *core) probeIndirectly(current *probe) {
	for _, helper := range c.pick(indirectProbes, current.target) {
		c.send(helper, message{messageType: indirectPingMessage, sequence: current.sequence, target: current.target})
	}
}

// probeFailed begins to suspect a member, and tells it so that it can refute.
func (c *core) probeFailed(now time.Duration, failed *probe) {
	target := c.members[failed.target]
	if target == nil || target.member.State != Alive || target.member.Generation != failed.generation {
		return
	}
	c.suspect(now, target)
	c.enqueue(now, failed.target)
	c.send(failed.target, message{messageType: pingMessage, sequence: c.probing.nextSequence()})
}

func (c *core) suspect(now time.Duration, e *entry) {
	change := e.member.claim()
	change.state = Suspect
	c.setState(now, e, change)
}

func (c *core) advanceSuspicions(now time.Duration) {
	if now < c.probing.suspicionDue {
		return
	}
	for _, e := range c.order {
		if e.member.State != Suspect || now < e.deadline {
			continue
		}
		change := e.member.claim()
		change.state = Dead
		c.setState(now, e, change)
		c.enqueue(now, e.member.Address)
	}
	c.resetSuspicionDue()
}

func (c *core) resetSuspicionDue() {
	c.probing.suspicionDue = never
	for _, e := range c.order {
		if e.member.State == Suspect {
			c.probing.suspicionDue = min(c.probing.suspicionDue, e.deadline)
		}
	}
}

func (c *core) receivePing(from netip.AddrPort, m *message) {
	c.send(from, message{messageType: ackMessage, sequence: m.sequence, generation: c.self.member.Generation})
}

func (c *core) receiveIndirectPing(now time.Duration, from netip.AddrPort, m *message) {
	sequence := c.probing.nextSequence()
	waiting := slices.DeleteFunc(c.probing.relays, func(r relay) bool { return now >= r.deadline })
	c.probing.relays = append(waiting, relay{
		sequence:    sequence,
		asker:       from,
		askSequence: m.sequence,
		deadline:    now + relayTimeout,
	})
	c.send(m.target, message{messageType: pingMessage, sequence: sequence})
}

func (c *core) receiveAck(from netip.AddrPort, m *message) {
	if c.probing.noteAck(m) {
		c.clearSuspicion(c.probing.current.target, m.generation)
		c.probing.current = nil
	}
	c.clearSuspicion(from, m.generation)
	for i, r := range c.probing.relays {
		if r.sequence == m.sequence {
			c.probing.relays = slices.Delete(c.probing.relays, i, i+1)
			c.send(r.asker, message{messageType: ackMessage, sequence: r.askSequence, generation: m.generation})
			return
		}
	}
}

// clearSuspicion ends the suspicion here of a member that was heard. Others wait for its own refutation.
func (c *core) clearSuspicion(from netip.AddrPort, generation uint64) {
	e := c.members[from]
	if e == nil || e.member.State != Suspect || e.member.Generation != generation {
		return
	}
	e.member.State = Alive
	c.changed = true // the digest does not depend on it
}
