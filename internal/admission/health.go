package admission

import "time"

const (
	// A backend is ejected after maxConsecutiveFailures failures in a row (timeouts included), or maxConsecutiveTimeouts
	// timeouts without a success between them.
	maxConsecutiveFailures = 3
	maxConsecutiveTimeouts = 2
	// A backend that fails intermittently is ejected at a failure rate of maxFailureRate, from minFailureSamples attempts on.
	maxFailureRate    = 0.5
	minFailureSamples = 8.0
	// failureRateGain is the weight of a new attempt in the failure rate.
	failureRateGain = 0.15
	// From recoverySamples attempts on, a failure rate below recoveredFailureRate resets the ejection time to firstEjection.
	recoverySamples      = 16.0
	recoveredFailureRate = 0.1
	// The first ejection lasts firstEjection. Each further one lasts twice as long, up to longestEjection. This maximum is
	// short because trials are cheap: backends that no longer exist are removed from the list.
	firstEjection        = 500 * time.Millisecond
	longestEjection      = 4 * time.Second
	maxEjectionDoublings = 3
	// Ejection times are multiplied by a random factor between minEjectionJitter and minEjectionJitter + ejectionJitterRange.
	minEjectionJitter   = 0.75
	ejectionJitterRange = 0.5
	// A backend with at least unresponsiveAttempts unanswered requests is unresponsive if no response has started for
	// unresponsiveLatencies times its smoothed latency or the pool mean, whichever is greater, and at least minUnresponsive.
	unresponsiveAttempts  = 3
	unresponsiveLatencies = 4.0
	minUnresponsive       = 250 * time.Millisecond
	// minAvailableFraction is the fraction of a pool's backends that must not be ejected at any time.
	minAvailableFraction = 1.0 / 3
)

// health tracks the failures of a backend. An ejected backend receives no requests until the ejection time is over, then
// one trial request at a time until one succeeds (half-open).
type health struct {
	consecutiveFailures int
	consecutiveTimeouts int
	failureRate         float64 // smoothed
	samples             float64 // attempts since the last ejection ended
	ejections           int     // since the failure rate was last low
	ejected             bool
	unresponsive        bool // ejected as unresponsive: any response ends the ejection
	ejectedUntil        time.Time
	trials              int // in flight
}

// available reports whether the backend may receive a request: it is not ejected, or it is due for a trial.
func (h *health) available(now time.Time) bool {
	return !h.ejected || (h.trials == 0 && !now.Before(h.ejectedUntil))
}

// record includes the outcome of an attempt in the failure counts and the failure rate.
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

// failing reports whether the backend has failed often enough to be ejected.
func (h *health) failing() bool {
	return h.consecutiveFailures >= maxConsecutiveFailures || h.consecutiveTimeouts >= maxConsecutiveTimeouts ||
		(h.failureRate >= maxFailureRate && h.samples >= minFailureSamples)
}

// eject ejects the backend, for a time that grows with each ejection. jitter is a random number in [0, 1).
func (h *health) eject(now time.Time, jitter float64) {
	wait := min(firstEjection<<min(h.ejections, maxEjectionDoublings), longestEjection)
	h.ejections++
	h.ejected = true
	h.ejectedUntil = now.Add(time.Duration(float64(wait) * (minEjectionJitter + ejectionJitterRange*jitter)))
}

// restore ends an ejection. It halves the failure rate, so that former failures count less.
func (h *health) restore() {
	h.ejected = false
	h.unresponsive = false
	h.samples = 0
	h.failureRate /= 2
}

// recordOutcome ejects a backend that fails, and restores an ejected backend after a successful trial. A failed trial
// prolongs the ejection. Requests from before the ejection neither restore the backend nor prolong the ejection.
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

// ejectUnresponsive ejects a backend that is unresponsive, before its requests time out.
func (p *Pool) ejectUnresponsive(now time.Time, b *backend) {
	if b.health.ejected || b.unanswered < unresponsiveAttempts || b.latencyAt.IsZero() && p.responses < minResponses {
		return
	}
	elapsed := now.Sub(b.unansweredSince)
	if elapsed < minUnresponsive || elapsed.Seconds() < unresponsiveLatencies*max(p.meanLatency, b.latency) || !p.canEject() {
		return
	}
	b.health.eject(now, p.random.Float64())
	b.health.unresponsive = true
}

// canEject reports whether one more backend may be ejected: at least one backend, and minAvailableFraction of all, must
// remain.
func (p *Pool) canEject() bool {
	remaining := -1 // without the one to be ejected
	for _, b := range p.backends {
		if !b.health.ejected {
			remaining++
		}
	}
	return remaining >= 1 && float64(remaining) >= minAvailableFraction*float64(len(p.backends))
}
