package admission

import "time"

const (
	// maxConsecutiveFailures and maxConsecutiveTimeouts are the failures and time-outs in a row that eject a backend.
	maxConsecutiveFailures = 3
	maxConsecutiveTimeouts = 2
	// maxFailureRate ejects a backend that fails now and then, from minFailureSamples attempts on.
	maxFailureRate    = 0.5
	minFailureSamples = 8.0
	// failureRateGain is the weight of an attempt in the failure rate.
	failureRateGain = 0.15
	// From recoverySamples attempts on, a failure rate below recoveredFailureRate resets the ejection time.
	recoverySamples      = 16.0
	recoveredFailureRate = 0.1
	// An ejection lasts firstEjection and doubles each time, up to longestEjection. Trials are cheap, since backends
	// that are gone leave the list.
	firstEjection        = 500 * time.Millisecond
	longestEjection      = 4 * time.Second
	maxEjectionDoublings = 3
	// Ejections are shorter or longer at random, from minEjectionJitter to that plus ejectionJitterRange of their time.
	minEjectionJitter   = 0.75
	ejectionJitterRange = 0.5
	// A backend with unresponsiveAttempts unanswered requests is unresponsive after unresponsiveLatencies times the
	// expected latency without an answer, and at least minUnresponsive.
	unresponsiveAttempts  = 3
	unresponsiveLatencies = 4.0
	minUnresponsive       = 250 * time.Millisecond
	// minAvailableFraction of a pool is never ejected.
	minAvailableFraction = 1.0 / 3
)

// health tracks the failures of a backend. An ejected backend gets nothing until its time is over, then one trial request
// at a time until one succeeds (half-open).
type health struct {
	consecutiveFailures int
	consecutiveTimeouts int
	failureRate         float64 // of recent attempts, smoothed
	samples             float64
	ejections           int // since the failure rate was last low
	ejected             bool
	unresponsive        bool // ejected without an answer, so that any answer ends the ejection
	ejectedUntil        time.Time
	trials              int // in flight
}

// available reports whether the backend may get a request.
func (h *health) available(now time.Time) bool {
	return !h.ejected || (h.trials == 0 && !now.Before(h.ejectedUntil))
}

// record takes the outcome of an attempt.
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

// failing reports whether the backend has to be ejected for its failures.
func (h *health) failing() bool {
	return h.consecutiveFailures >= maxConsecutiveFailures || h.consecutiveTimeouts >= maxConsecutiveTimeouts ||
		(h.failureRate >= maxFailureRate && h.samples >= minFailureSamples)
}

// eject excludes the backend for a time that grows with each ejection. Jitter is a random number in [0, 1).
func (h *health) eject(now time.Time, jitter float64) {
	wait := min(firstEjection<<min(h.ejections, maxEjectionDoublings), longestEjection)
	h.ejections++
	h.ejected = true
	h.ejectedUntil = now.Add(time.Duration(float64(wait) * (minEjectionJitter + ejectionJitterRange*jitter)))
}

// restore ends an ejection. Former failures count less.
func (h *health) restore() {
	h.ejected = false
	h.unresponsive = false
	h.samples = 0
	h.failureRate /= 2
}

// recordOutcome ejects a backend that fails, and restores an ejected one that has succeeded. A trial that fails prolongs
// the ejection; requests from before the ejection do not.
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

// ejectUnresponsive ejects a backend that has not answered for long, before its requests time out.
func (p *Pool) ejectUnresponsive(now time.Time, b *backend) {
	if b.health.ejected || b.unanswered < unresponsiveAttempts || b.latencyAt.IsZero() && p.answers < minAnswers {
		return
	}
	elapsed := now.Sub(b.unansweredSince)
	if elapsed < minUnresponsive || elapsed.Seconds() < unresponsiveLatencies*max(p.latency, b.latency) || !p.canEject() {
		return
	}
	b.health.eject(now, p.random.Float64())
	b.health.unresponsive = true
}

// canEject reports whether the pool can do without one more backend.
func (p *Pool) canEject() bool {
	remaining := -1 // without the one to be ejected
	for _, b := range p.backends {
		if !b.health.ejected {
			remaining++
		}
	}
	return remaining >= 1 && float64(remaining) >= minAvailableFraction*float64(len(p.backends))
}
