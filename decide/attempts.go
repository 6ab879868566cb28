package decide

import "time"

const (
	// retryTokensPerArrival is the number of retry tokens that each new request adds to the budget of
	// further attempts. The budget keeps the node from causing a retry storm.
	retryTokensPerArrival = 0.1
	// maxRetryTokens is the largest number of retry tokens that can accumulate.
	maxRetryTokens = 10.0
	// retryAfterShare is the time that a refused client is asked to wait, before jitter, as a share of
	// the latency target of the request's class.
	retryAfterShare = 0.15
)

// send starts an attempt if there is a backend and the rules allow the attempt, and reports whether it
// did. Every attempt goes through send.
func (m *Module) send(r *request, b *backend, timeout time.Duration) bool {
	if b == nil || !m.maySend(r, b) {
		return false
	}
	r.attempts = append(r.attempts, attempt{backend: b, sent: m.now, mayRun: true})
	m.tally.sent++
	r.inFlight++
	b.inFlight++
	b.tokens--
	if b.unanswered++; b.unanswered == 1 {
		b.unansweredSince = m.now
	}
	m.emit(Send{ID: r.id, Backend: b.ID, Timeout: min(timeout, r.deadline-m.now)})
	return true
}

// attemptEnded handles the outcome of an attempt.
func (m *Module) attemptEnded(e AttemptEnded) {
	r := m.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := &r.attempts[e.Attempt]
	a.ended, a.mayRun = true, e.Code != Full && e.Code != ConnectFailed && e.Code != NotSent
	r.inFlight--
	a.backend.inFlight--
	m.tally.ended[e.Code]++
	m.forget(a.backend)
	m.recordRejection(e)
	m.recordReport(a.backend, e.Report)
	m.recordClassOutcome(a.backend, r, e.Code)
	m.recordOutcome(a.backend, r, e)
	switch {
	case r.answered && r.inFlight == 0:
		delete(m.requests, r.id)
	case e.RequestAnswered && !r.answered:
		m.closeRequest(r)
	case !r.answered && r.inFlight == 0:
		m.retry(r, a.mayRun)
	}
}

// retry makes a further attempt if the rules, the budget and the backends allow one, and otherwise
// answers the request. spendsToken is set if the attempt that has ended may have run; a further one
// then spends a retry token.
func (m *Module) retry(r *request, spendsToken bool) {
	worthless := r.class.LateValue == 0 && r.class.Target > 0 && m.now-r.arrived >= r.class.Target
	if !worthless && (m.retryTokens >= 1 || !spendsToken) {
		b, mode := m.pick(m.subset, r)
		if b == nil && !m.mayRefuse(r) {
			b, mode = m.pick(m.listed, r) // its key may bind the request to backends outside the subset
		}
		if (mode == Normal || r.priority) && m.send(r, b, r.deadline) {
			if spendsToken {
				m.retryTokens--
			}
			return
		}
	}
	m.answerFinally(r)
}

// answerFinally gives the final answer to a request that no backend has answered: a refusal if the
// rules allow one, else a failure. A refused client is asked to wait for a fraction of the class's
// target, so that it retries while an answer still has value, but never longer than MaxRetryAfter.
func (m *Module) answerFinally(r *request) {
	wait := m.jitter(time.Duration(retryAfterShare * float64(r.class.Target)))
	wait = min(wait, m.settings.MaxRetryAfter)
	if !m.mayRefuse(r) {
		m.tally.failed++
		m.emit(Fail{ID: r.id})
	} else {
		m.tally.refused++
		m.emit(Refuse{ID: r.id, RetryAfter: wait})
	}
	m.closeRequest(r)
}

// closeRequest marks a request as answered, cancels its attempts in flight unless it streams, and
// forgets it once all attempts have ended.
func (m *Module) closeRequest(r *request) {
	r.answered = true
	for i := range r.attempts {
		if m.settings.MayCancel && !r.attempts[i].ended && !r.streaming {
			m.emit(CancelAttempt{ID: r.id, Attempt: i})
		}
	}
	if r.inFlight == 0 {
		delete(m.requests, r.id)
	}
}
