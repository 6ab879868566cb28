package admission

import (
	"time"

	"nickelline/internal/discovery"
)

// Ticket is the permission to send one request to one backend. The caller must call Done once.
type Ticket struct {
	Backend discovery.Backend

	pool    *Pool
	backend *backend
	sentAt  time.Time
	class   class
	weight  float64
	trial   bool // of an ejected backend
	done    bool

	started         bool
	startedAt       time.Time
	inFlightAtStart int // of the node at the backend, at the first byte
}

// ticket counts a request at a backend, and returns its ticket.
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

// Started records the first byte of the answer: the first event of a stream, or the whole body otherwise.
func (t *Ticket) Started(now time.Time) {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	if !t.done {
		t.recordFirstByte(now)
	}
}

// recordFirstByte takes the latency, once.
func (t *Ticket) recordFirstByte(now time.Time) {
	if t.started {
		return
	}
	t.started = true
	t.startedAt = now
	t.inFlightAtStart = t.backend.inFlight
	latency := now.Sub(t.sentAt)
	t.pool.counts[t.class].recordFirstByte(latency)
	t.backend.recordFirstByte(now, latency, t.weight)
	if t.backend.health.unresponsive {
		t.backend.health.restore()
	}
	t.pool.recordLatency(now, latency)
}

// Report takes the load that a backend reported with the head of its answer. Done does the same for answers that end at
// once.
func (t *Ticket) Report(now time.Time, load Load) {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	if !t.done {
		t.recordLoad(now, t.backend.inFlight, &load)
	}
}

// recordLoad takes a report of the backend, unless a newer one is known.
func (t *Ticket) recordLoad(at time.Time, own int, load *Load) {
	if at.Before(t.backend.reportedAt) {
		return
	}
	t.backend.recordLoad(at, own, load)
	t.pool.recordOthers(at, t.backend)
}

// Done records how the attempt ended, and the load that the backend reported with its answer, if any, as of the beginning
// of the answer. Calls after the first have no effect.
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
