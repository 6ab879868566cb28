package admission

import (
	"time"

	"nickelline/internal/discovery"
)

// Ticket is the permission to send one request to one backend. Done has to be called once.
type Ticket struct {
	Backend discovery.Backend

	pool   *Pool
	server *server
	sentAt time.Time
	class  class
	weight float64
	trial  bool // at a backend that is ejected
	done   bool

	started   bool
	startedAt time.Time
	inFlight  int // of the node at the backend, when the answer began
}

func (p *Pool) ticket(now time.Time, r *Request, s *server) *Ticket {
	t := &Ticket{
		Backend: s.backend,
		pool:    p,
		server:  s,
		sentAt:  now,
		class:   classOf(r),
		weight:  p.weigh(r.Tokens),
		trial:   s.failures.ejected,
	}
	s.sent(now, t.class, t.weight)
	if t.trial {
		s.failures.trials++
	}
	return t
}

// Started tells that the first part of the answer has come.
func (t *Ticket) Started(now time.Time) {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	if !t.done {
		t.start(now)
	}
}

// start takes the latency, once.
func (t *Ticket) start(now time.Time) {
	if t.started {
		return
	}
	t.started = true
	t.startedAt = now
	t.inFlight = t.server.inFlight
	took := now.Sub(t.sentAt)
	t.pool.counts[t.class].started(took)
	t.server.answered(now, took, t.weight)
	if t.server.failures.silent {
		t.server.failures.restore()
	}
	t.pool.answered(now, took)
}

// Report takes the load that a backend told with the head of its answer. Done does the same for answers that end at
// once.
func (t *Ticket) Report(now time.Time, load Load) {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	if !t.done {
		t.report(now, t.server.inFlight, &load)
	}
}

// report takes a load, unless a newer one is known.
func (t *Ticket) report(at time.Time, own int, load *Load) {
	if at.Before(t.server.reportAt) {
		return
	}
	t.server.reported(at, own, load)
	t.pool.reported(at, t.server)
}

// Done tells how the attempt ended, and the load that the backend told with its answer, if it did: that is of the time
// when the answer began. Calls after the first have no effect.
func (t *Ticket) Done(now time.Time, outcome Outcome, load *Load) {
	p, s := t.pool, t.server
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if t.done {
		return
	}
	if outcome == OK {
		t.start(now)
	}
	switch {
	case load != nil && t.started:
		t.report(t.startedAt, t.inFlight, load)
	case load != nil:
		t.report(now, s.inFlight, load)
	}
	t.done = true
	p.counts[t.class].outcomes[outcome]++
	if !t.started {
		s.settled(t.weight)
	}
	if outcome == OK {
		p.finished(t.startedAt.Sub(t.sentAt), now.Sub(t.sentAt))
	}
	s.gone(t.class, t.weight)
	if t.trial {
		s.failures.trials--
	}
	if outcome == Full {
		s.silentFrom = now
		s.impose(now)
	}
	p.judge(now, s, outcome, t.trial)
}
