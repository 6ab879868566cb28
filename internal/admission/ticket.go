package admission

import (
	"time"

	"nickelline/internal/discovery"
)

// Ticket is the permission to send one request to one backend. The caller must call Done when the attempt has ended.
type Ticket struct {
	Backend discovery.Backend

	pool    *Pool
	backend *backend
	sentAt  time.Time
	class   class
	weight  float64
	trial   bool // the backend was ejected when it was picked
	done    bool

	responseStarted         bool
	responseStartedAt       time.Time
	inFlightAtResponseStart int // requests of this node at the backend at responseStartedAt
}

// newTicket adds a request to the load of a backend and returns its ticket.
func (p *Pool) newTicket(now time.Time, r *Request, b *backend) *Ticket {
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

// Started records the first byte of the response: the first event of a stream, or the whole body otherwise.
func (t *Ticket) Started(now time.Time) {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	if !t.done {
		t.recordFirstByte(now)
	}
}

// recordFirstByte records the time to first byte. Calls after the first have no effect.
func (t *Ticket) recordFirstByte(now time.Time) {
	if t.responseStarted {
		return
	}
	t.responseStarted = true
	t.responseStartedAt = now
	t.inFlightAtResponseStart = t.backend.inFlight
	latency := now.Sub(t.sentAt)
	t.pool.counts[t.class].recordFirstByte(latency)
	t.backend.recordFirstByte(now, latency, t.weight)
	if t.backend.health.unresponsive {
		t.backend.health.restore()
	}
	t.pool.recordLatency(now, latency)
}

// Report records the load that the backend reported in the header of its response. A load that comes with a response that
// is already complete may be passed to Done instead.
func (t *Ticket) Report(now time.Time, load Load) {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	if !t.done {
		t.recordLoad(now, t.backend.inFlight, &load)
	}
}

// recordLoad records a report that the backend made at the given time, when this node had ownInFlight requests there. It
// ignores the report if a newer one is known.
func (t *Ticket) recordLoad(at time.Time, ownInFlight int, load *Load) {
	if at.Before(t.backend.reportedAt) {
		return
	}
	t.backend.recordLoad(at, ownInFlight, load)
	t.pool.recordOthers(at, t.backend)
}

// Done records the outcome of the attempt, and the load that the backend reported with its response unless it is nil. The
// load applies to the time of the first byte, if there was one. Calls after the first have no effect.
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
	case load != nil && t.responseStarted:
		t.recordLoad(t.responseStartedAt, t.inFlightAtResponseStart, load)
	case load != nil:
		t.recordLoad(now, b.inFlight, load)
	}
	t.done = true
	p.counts[t.class].outcomes[outcome]++
	if !t.responseStarted {
		b.removeUnanswered(t.weight)
	}
	if outcome == OK {
		p.recordCompletion(t.responseStartedAt.Sub(t.sentAt), now.Sub(t.sentAt))
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
