package admission

import (
	"time"

	"nickelline/decide"
)

const (
	// recomputePeriod is how often the drop fractions are computed.
	recomputePeriod = 100 * time.Millisecond
	// countMemory is the fraction of the counts that a period hands on, since one period may see few arrivals.
	countMemory = 0.9
	// maxDecayPeriods is the number of periods after which nothing of a count is left.
	maxDecayPeriods = 100
	// overloadMemory is how long after a period its overload counts.
	overloadMemory = forcedBlockTime
	// fewLiveArrivals is the ratio of live requests to batch work below which the thresholds of batch work count as well.
	fewLiveArrivals = 0.01
	// A client is told to retry within these bounds.
	minRetryAfter = 40 * time.Millisecond
	maxRetryAfter = 800 * time.Millisecond
	// That time is shorter or longer at random, from minRetryJitter to that plus retryJitterRange of it.
	minRetryJitter   = 0.75
	retryJitterRange = 0.5
)

// shedding holds the fractions of requests that are dropped while no backend is normal.
type shedding struct {
	periodEnd     time.Time
	arrivals      [classes]float64   // of the last periods, decayed: N1 and N2
	overloadDepth [classes]depthMean // of this period
	dropFractions [classes]float64   // q1 and q2
}

// depthMean is the mean over a period of how far backends are between H and R while none is normal.
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

// updateDropFractions computes q1 and q2, and begins a new period.
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

// overloadLevel returns q: how deep in overload the backends were in the last period.
func (s *shedding) overloadLevel(now time.Time) float64 {
	if now.Sub(s.periodEnd) > overloadMemory {
		return 0
	}
	q := s.overloadDepth[live].mean()
	if s.arrivals[live] < fewLiveArrivals*s.arrivals[batch] {
		q = max(q, s.overloadDepth[batch].mean())
	}
	return q
}

// countDecay returns the fraction of a count that is left after some periods.
func countDecay(periods int) float64 {
	left := 1.0
	for range min(max(periods, 1), maxDecayPeriods) {
		left *= countMemory
	}
	return left
}

// mustShed draws whether a request is dropped though backends that are merely overloaded could take it. A live request is
// not dropped while a backend has free slots, since a refusal then costs more than a wait.
func (p *Pool) mustShed(c class, found *scanResult) bool {
	if c == live && found.hasFreeSlots {
		return false
	}
	return p.random.Float64() < p.shedding.dropFractions[c]
}

// refuse returns a refusal with the time after which the backlog over H is about done.
func (p *Pool) refuse(backlog float64) *Refusal {
	wait := time.Duration(p.latency * backlog * float64(time.Second))
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return &Refusal{RetryAfter: time.Duration(float64(wait) * (minRetryJitter + retryJitterRange*p.random.Float64()))}
}
