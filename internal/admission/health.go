package admission

import "time"

const (
	failuresInRow  = 3    // that eject a backend
	timeoutsInRow  = 2    // the same for silence
	failedPart     = 0.5  // of attempts lately: the same for backends that fail now and then
	failedSamples  = 8.0  // attempts before that part tells anything
	goodSamples    = 16.0 // attempts after which
	goodPart       = 0.1  // a smaller part of failures ends the memory of ejections
	ejectFirst     = 500 * time.Millisecond
	ejectLast      = 4 * time.Second // trials are cheap: servers that are gone leave the list
	ejectDoublings = 3
	muteAttempts   = 3                      // unanswered ones that tell a silent backend,
	muteFactor     = 4.0                    // when the silence is this multiple of the expected latency,
	muteLeast      = 250 * time.Millisecond // and no shorter than this
	keptPart       = 1.0 / 3                // of a pool that is never ejected
)

// health follows a backend's failures. An ejected backend gets nothing until its time is over, then one trial request
// at a time until one succeeds (half-open).
type health struct {
	inRow     int
	silences  int
	part      float64 // of attempts lately that failed
	samples   float64
	ejections int // without a good time since
	ejected   bool
	silent    bool // ejected for silence, so that any answer ends it
	until     time.Time
	trials    int // in flight
}

// open tells whether the backend may get a request.
func (h *health) open(now time.Time) bool {
	return !h.ejected || (h.trials == 0 && !now.Before(h.until))
}

// count takes the outcome of an attempt.
func (h *health) count(o Outcome) {
	switch o {
	case OK, Full:
		h.inRow, h.silences = 0, 0
		h.part -= failureGain * h.part
	case Failed, TimedOut:
		h.inRow++
		if o == TimedOut {
			h.silences++
		}
		h.part += failureGain * (1 - h.part)
	case Cancelled:
		return
	}
	h.samples++
	if h.samples >= goodSamples && h.part < goodPart {
		h.ejections = 0
	}
}

// poor tells whether the backend's failures call for its ejection.
func (h *health) poor() bool {
	return h.inRow >= failuresInRow || h.silences >= timeoutsInRow ||
		(h.part >= failedPart && h.samples >= failedSamples)
}

// eject keeps the backend out for a time that grows.
func (h *health) eject(now time.Time, jitter float64) {
	wait := min(ejectFirst<<min(h.ejections, ejectDoublings), ejectLast)
	h.ejections++
	h.ejected = true
	h.until = now.Add(time.Duration(float64(wait) * (0.75 + 0.5*jitter)))
}

// restore lets the backend in again. Its former failures count less.
func (h *health) restore() {
	h.ejected = false
	h.silent = false
	h.samples = 0
	h.part /= 2
}

// judge ejects a backend that fails, and restores an ejected one that has succeeded. A trial that fails prolongs the
// ejection; requests from before it tell nothing new.
func (p *Pool) judge(now time.Time, s *server, o Outcome, trial bool) {
	h := &s.failures
	h.count(o)
	switch {
	case h.ejected && trial && (o == OK || o == Full):
		h.restore()
	case h.ejected && trial && o != Cancelled:
		h.eject(now, p.random.Float64())
	case !h.ejected && h.poor() && p.mayEject():
		h.eject(now, p.random.Float64())
	}
}

// judgeSilence ejects a backend that has not answered for long, before its requests time out.
func (p *Pool) judgeSilence(now time.Time, s *server) {
	if s.failures.ejected || s.unanswered < muteAttempts || s.latencyAt.IsZero() && p.answers < enoughAnswers {
		return
	}
	silence := now.Sub(s.silentFrom)
	if silence < muteLeast || silence.Seconds() < muteFactor*max(p.latency, s.latency) || !p.mayEject() {
		return
	}
	s.failures.eject(now, p.random.Float64())
	s.failures.silent = true
}

// mayEject tells whether the pool can do without one more backend.
func (p *Pool) mayEject() bool {
	left := -1
	for _, s := range p.servers {
		if !s.failures.ejected {
			left++
		}
	}
	return left >= 1 && float64(left) >= keptPart*float64(len(p.servers))
}
