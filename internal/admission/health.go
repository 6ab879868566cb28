package admission

import "time"

const (
	maxConsecutiveFailures = 3    // that eject a backend
	maxConsecutiveTimeouts = 2    // the same for silence
	maxFailureRate         = 0.5  // of attempts lately: the same for backends that fail now and then
	minFailureSamples      = 8.0  // attempts before that part tells anything
	recoverySamples        = 16.0 // attempts after which
	recoveredFailureRate   = 0.1  // a smaller part of failures ends the memory of ejections
	firstEjection          = 500 * time.Millisecond
	longestEjection        = 4 * time.Second // trials are cheap: servers that are gone leave the list
	maxEjectionDoublings   = 3
	unresponsiveAttempts   = 3                      // unanswered ones that tell a silent backend,
	unresponsiveLatencies  = 4.0                    // when the silence is this multiple of the expected latency,
	minUnresponsive        = 250 * time.Millisecond // and no shorter than this
	minAvailableFraction   = 1.0 / 3                // of a pool that is never ejected
)

// health follows a backend's failures. An ejected backend gets nothing until its time is over, then one trial request
// at a time until one succeeds (half-open).
type health struct {
	consecutiveFailures int
	consecutiveTimeouts int
	failureRate         float64 // of attempts lately that failed
	samples             float64
	ejections           int // without a good time since
	ejected             bool
	unresponsive        bool // ejected for silence, so that any answer ends it
	ejectedUntil        time.Time
	trials              int // in flight
}

// open tells whether the backend may get a request.
func (h *health) available(now time.Time) bool {
	return !h.ejected || (h.trials == 0 && !now.Before(h.ejectedUntil))
}

// count takes the outcome of an attempt.
func (h *health) record(o Outcome) {
	switch o {
	case OK, Full:
		h.consecutiveFailures, h.consecutiveTimeouts = 0, 0
		h.failureRate -= failureRateGain * h.failureRate
	case Failed, TimedOut:
		h.consecutiveFailures++
		if o == TimedOut {
			h.consecutiveTimeouts++
		}
		h.failureRate += failureRateGain * (1 - h.failureRate)
	case Cancelled:
		return
	}
	h.samples++
	if h.samples >= recoverySamples && h.failureRate < recoveredFailureRate {
		h.ejections = 0
	}
}

// poor tells whether the backend's failures call for its ejection.
func (h *health) failing() bool {
	return h.consecutiveFailures >= maxConsecutiveFailures || h.consecutiveTimeouts >= maxConsecutiveTimeouts ||
		(h.failureRate >= maxFailureRate && h.samples >= minFailureSamples)
}

// eject keeps the backend out for a time that grows.
func (h *health) eject(now time.Time, jitter float64) {
	wait := min(firstEjection<<min(h.ejections, maxEjectionDoublings), longestEjection)
	h.ejections++
	h.ejected = true
	h.ejectedUntil = now.Add(time.Duration(float64(wait) * (0.75 + 0.5*jitter)))
}

// restore lets the backend in again. Its former failures count less.
func (h *health) restore() {
	h.ejected = false
	h.unresponsive = false
	h.samples = 0
	h.failureRate /= 2
}

// judge ejects a backend that fails, and restores an ejected one that has succeeded. A trial that fails prolongs the
// ejection; requests from before it tell nothing new.
func (p *Pool) recordOutcome(now time.Time, b *backend, o Outcome, trial bool) {
	h := &b.health
	h.record(o)
	switch {
	case h.ejected && trial && (o == OK || o == Full):
		h.restore()
	case h.ejected && trial && o != Cancelled:
		h.eject(now, p.random.Float64())
	case !h.ejected && h.failing() && p.canEject():
		h.eject(now, p.random.Float64())
	}
}

// judgeSilence ejects a backend that has not answered for long, before its requests time out.
func (p *Pool) ejectUnresponsive(now time.Time, b *backend) {
	if b.health.ejected || b.unanswered < unresponsiveAttempts || b.latencyAt.IsZero() && p.answers < minAnswers {
		return
	}
	silence := now.Sub(b.unansweredSince)
	if silence < minUnresponsive || silence.Seconds() < unresponsiveLatencies*max(p.latency, b.latency) || !p.canEject() {
		return
	}
	b.health.eject(now, p.random.Float64())
	b.health.unresponsive = true
}

// mayEject tells whether the pool can do without one more backend.
func (p *Pool) canEject() bool {
	left := -1
	for _, b := range p.backends {
		if !b.health.ejected {
			left++
		}
	}
	return left >= 1 && float64(left) >= minAvailableFraction*float64(len(p.backends))
}
