package admission

import (
	"time"

	"nickelline/internal/discovery"
)

// Ticket is the permission to send one request to one backend. Done has to be called once.
type Ticket struct {
	Backend discovery.Backend

	pool    *Pool
	backend *backend
	sentAt  time.Time
	class   class
	weight  float64
	trial   bool // at a backend that is ejected
	done    bool

	started         bool
	startedAt       time.Time
	inFlightAtStart int // of the node at the backend, when the answer began
}

func (p *Pool) ticket(now time.Time, r *Request, b *backend) *Ticket {
	t := &Ticket{
		Backend: b.listed,
		pool:    p,
		backend: b,
		sentAt:  now,
		class:   classOf(r),
		weight:  p.weightOf(r.Tokens),
		trial:   b.health.ejected,
	}
	b.addRequest(now, t.class, t.weight)
	if t.trial {
		b.health.trials++
	}
	return t
}

// Started tells that the first part of the answer has come.
func (t *Ticket) Started(now time.Time) {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	if !t.done {
		t.recordFirstByte(now)
	}
}

// start takes the latency, once.
func (t *Ticket) recordFirstByte(now time.Time) {
	if t.started {
		return
	}
	t.started = true
	t.startedAt = now
	t.inFlightAtStart = t.backend.inFlight
	took := now.Sub(t.sentAt)
	t.pool.counts[t.class].recordFirstByte(took)
	t.backend.recordFirstByte(now, took, t.weight)
	if t.backend.health.unresponsive {
		t.backend.health.restore()
	}
	t.pool.recordLatency(now, took)
}

// Report takes the load that a backend told with the head of its answer. Done does the same for answers that end at
// once.
func (t *Ticket) Report(now time.Time, load Load) {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	if !t.done {
		t.recordLoad(now, t.backend.inFlight, &load)
	}
}

// report takes a load, unless a newer one is known.
func (t *Ticket) recordLoad(at time.Time, own int, load *Load) {
	if at.Before(t.backend.reportedAt) {
		return
	}
	t.backend.recordLoad(at, own, load)
	t.pool.recordOthers(at, t.backend)
}

// Done tells how the attempt ended, and the load that the backend told with its answer, if it did: that is of the time
// when the answer began. Calls after the first have no effect.
func (t *Ticket) Done(now time.Time, outcome Outcome, load *Load) {
	p, b := t.pool, t.backend
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if t.done {
		return
	}
	if outcome == OK {
		t.recordFirstByte(now)
	}
	switch {
	case load != nil && t.started:
		t.recordLoad(t.startedAt, t.inFlightAtStart, load)
	case load != nil:
		t.recordLoad(now, b.inFlight, load)
	}
	t.done = true
	p.counts[t.class].outcomes[outcome]++
	if !t.started {
		b.removeUnanswered(t.weight)
	}
	if outcome == OK {
		p.recordCompletion(t.startedAt.Sub(t.sentAt), now.Sub(t.sentAt))
	}
	b.removeRequest(t.class, t.weight)
	if t.trial {
		b.health.trials--
	}
	if outcome == Full {
		b.unansweredSince = now
		b.blockBriefly(now)
	}
	p.recordOutcome(now, b, outcome, t.trial)
}
