package admission

import (
	"time"

	"nickelline/decide"
)

const (
	// recomputePeriod is the time between two computations of the drop fractions.
	recomputePeriod = 100 * time.Millisecond
	// countDecayFactor is the fraction of the arrival counts that the next period inherits, since one period may see few
	// arrivals.
	countDecayFactor = 0.9
	// maxDecayPeriods is the number of periods after which the rest of a count is negligible.
	maxDecayPeriods = 100
	// overloadValidity is how long after the end of a period its overload depth is valid.
	overloadValidity = forcedBlockTime
	// lowLiveArrivalRatio is the ratio of live requests to batch work below which the overload depth for batch work counts
	// as well.
	lowLiveArrivalRatio = 0.01
	// Bounds of RetryAfter, before the jitter.
	minRetryAfter = 40 * time.Millisecond
	maxRetryAfter = 800 * time.Millisecond
	// RetryAfter is multiplied by a random factor between minRetryJitter and minRetryJitter + retryJitterRange.
	minRetryJitter   = 0.75
	retryJitterRange = 0.5
)

// shedding holds the fractions of requests that are dropped while no backend is normal.
type shedding struct {
	periodEnd     time.Time
	arrivals      [classes]float64   // N1 and N2, with exponential decay over the periods
	overloadDepth [classes]depthMean // in this period
	dropFractions [classes]float64   // q1 and q2
}

// depthMean is the mean over the requests of a period of the mean position of backends between H (0) and R (1). It is 0 for
// a request that finds a normal backend.
type depthMean struct{ sum, count float64 }

func (d *depthMean) add(depth float64) {
	d.sum += depth
	d.count++
}

func (d *depthMean) mean() float64 {
	if d.count == 0 {
		return 0
	}
	return d.sum / d.count
}

// recordArrival counts a request, and updates the drop fractions at the end of a period.
func (p *Pool) recordArrival(now time.Time, c class) {
	if !now.Before(p.shedding.periodEnd) {
		p.updateDropFractions(now)
	}
	p.shedding.arrivals[c]++
}

// updateDropFractions computes q1 and q2 from the last period, and begins a new period.
func (p *Pool) updateDropFractions(now time.Time) {
	s := &p.shedding
	n1, n2 := s.arrivals[live], s.arrivals[batch]
	s.dropFractions[live], s.dropFractions[batch] = decide.ShedSplit(s.overloadLevel(now), n1, n2)
	periods := 1 + int(now.Sub(s.periodEnd)/recomputePeriod)
	for c := range s.arrivals {
		s.arrivals[c] *= countDecay(periods)
		s.overloadDepth[c] = depthMean{}
	}
	s.periodEnd = now.Add(recomputePeriod)
}

// overloadLevel returns q, the mean overload depth of the backends in the last period, or 0 if that is too long ago.
func (s *shedding) overloadLevel(now time.Time) float64 {
	if now.Sub(s.periodEnd) > overloadValidity {
		return 0
	}
	q := s.overloadDepth[live].mean()
	if s.arrivals[live] < lowLiveArrivalRatio*s.arrivals[batch] {
		q = max(q, s.overloadDepth[batch].mean())
	}
	return q
}

// countDecay returns the fraction of a count that is left after some periods.
func countDecay(periods int) float64 {
	left := 1.0
	for range min(max(periods, 1), maxDecayPeriods) {
		left *= countDecayFactor
	}
	return left
}

// shouldShed draws at random whether a request is dropped although overloaded backends could take it. A live request is not
// dropped while a backend has free slots, since a refusal then costs more than a wait.
func (p *Pool) shouldShed(c class, found *scanResult) bool {
	if c == live && found.hasFreeSlots {
		return false
	}
	return p.random.Float64() < p.shedding.dropFractions[c]
}

// refuse returns a refusal. RetryAfter is the estimated time to work off the backlog: the load above H, as a multiple of H.
func (p *Pool) refuse(backlog float64) *Refusal {
	wait := time.Duration(p.meanLatency * backlog * float64(time.Second))
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return &Refusal{RetryAfter: time.Duration(float64(wait) * (minRetryJitter + retryJitterRange*p.random.Float64()))}
}
