package admission

import (
	"time"

	"nickelline/decide"
)

const (
	recomputePeriod = 100 * time.Millisecond
	countMemory     = 0.9 // part of the counts that a period hands on: one may see few arrivals
	retryLeast      = 40 * time.Millisecond
	retryMost       = 800 * time.Millisecond
)

// shedding is the state of the drop fractions.
type shedding struct {
	periodEnd time.Time
	arrivals  [classes]float64    // of the last periods: N1 and N2
	depth     [classes]depthMeter // of this period
	parts     [classes]float64    // q1 and q2
}

// depthMeter means over the period how far backends are between H and R when none is normal.
type depthMeter struct{ sum, count float64 }

func (d *depthMeter) add(depth float64) {
	d.sum += depth
	d.count++
}

func (d *depthMeter) mean() float64 {
	if d.count == 0 {
		return 0
	}
	return d.sum / d.count
}

// arrived counts a request, and renews q1 and q2 at the end of a period.
func (p *Pool) arrived(now time.Time, c class) {
	if !now.Before(p.shed.periodEnd) {
		p.recompute(now)
	}
	p.shed.arrivals[c]++
}

func (p *Pool) recompute(now time.Time) {
	s := &p.shed
	n1, n2 := s.arrivals[live], s.arrivals[batch]
	s.parts[live], s.parts[batch] = decide.ShedSplit(s.overall(now), n1, n2)
	periods := 1 + int(now.Sub(s.periodEnd)/recomputePeriod)
	for c := range s.arrivals {
		s.arrivals[c] *= memoryOver(periods)
		s.depth[c] = depthMeter{}
	}
	s.periodEnd = now.Add(recomputePeriod)
}

// overall is q: how deep in overload the backends were in the last period, lately.
func (s *shedding) overall(now time.Time) float64 {
	if now.Sub(s.periodEnd) > modeValidity {
		return 0
	}
	q := s.depth[live].mean()
	if s.arrivals[live] < fewArrivals*s.arrivals[batch] {
		q = max(q, s.depth[batch].mean())
	}
	return q
}

// fewArrivals is the part of live requests below which a node's requests are batch work, whose own thresholds make q.
const fewArrivals = 0.01

// memoryOver is the part of a count that is left after some periods.
func memoryOver(periods int) float64 {
	left := 1.0
	for range min(max(periods, 1), 100) {
		left *= countMemory
	}
	return left
}

// refusal tells when to come back: about when the backlog over H is done.
func (p *Pool) refusal(least float64) *Refusal {
	wait := time.Duration(p.latency * least * float64(time.Second))
	wait = min(max(wait, retryLeast), retryMost)
	return &Refusal{RetryAfter: time.Duration(float64(wait) * (0.75 + 0.5*p.random.Float64()))}
}
