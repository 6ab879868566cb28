package admission

import (
	"time"

	"nickelline/decide"
)

const (
	recomputePeriod = 100 * time.Millisecond
	countMemory     = 0.9 // part of the counts that a period hands on: one may see few arrivals
	minRetryAfter   = 40 * time.Millisecond
	maxRetryAfter   = 800 * time.Millisecond
)

// shedding is the state of the drop fractions.
type shedding struct {
	periodEnd     time.Time
	arrivals      [classes]float64   // of the last periods: N1 and N2
	overloadDepth [classes]depthMean // of this period
	dropFractions [classes]float64   // q1 and q2
}

// depthMeter means over the period how far backends are between H and R when none is normal.
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

// arrived counts a request, and renews q1 and q2 at the end of a period.
func (p *Pool) recordArrival(now time.Time, c class) {
	if !now.Before(p.shedding.periodEnd) {
		p.updateDropFractions(now)
	}
	p.shedding.arrivals[c]++
}

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

// overall is q: how deep in overload the backends were in the last period, lately.
func (s *shedding) overloadLevel(now time.Time) float64 {
	if now.Sub(s.periodEnd) > forcedBlockTime {
		return 0
	}
	q := s.overloadDepth[live].mean()
	if s.arrivals[live] < fewLiveArrivals*s.arrivals[batch] {
		q = max(q, s.overloadDepth[batch].mean())
	}
	return q
}

// fewArrivals is the part of live requests below which a node's requests are batch work, whose own thresholds make q.
const fewLiveArrivals = 0.01

// memoryOver is the part of a count that is left after some periods.
func countDecay(periods int) float64 {
	left := 1.0
	for range min(max(periods, 1), 100) {
		left *= countMemory
	}
	return left
}

// refusal tells when to come back: about when the backlog over H is done.
func (p *Pool) refuse(least float64) *Refusal {
	wait := time.Duration(p.latency * least * float64(time.Second))
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return &Refusal{RetryAfter: time.Duration(float64(wait) * (0.75 + 0.5*p.random.Float64()))}
}
