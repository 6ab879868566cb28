package decide

import (
	"math"
	"time"
)

const (
	// shedPeriod is the time between two computations of the drop probabilities: many requests arrive
	// in it, yet it is far shorter than an overload.
	shedPeriod = 500 * time.Millisecond
	// arrivalsCarriedOver is the share of the arrival counts that carries over to the next period,
	// since a period may see no arrival.
	arrivalsCarriedOver = 0.9
)

// ShedSplit returns the drop probabilities of priority (q1) and other requests (q2) for an overall
// probability q and the arrivals n1 and n2 of both. Other requests are dropped first.
func ShedSplit(q, n1, n2 float64) (q1, q2 float64) {
	if n2 == 0 {
		return q, 0
	}
	q2 = math.Min(1, q*(n1+n2)/n2)
	if n1 > 0 {
		q1 = math.Max(0, (q*(n1+n2)-q2*n2)/n1)
	}
	return q1, q2
}

// recomputeShedding sets the drop probabilities, which apply only where no backend is normal: then all
// requests without priority are dropped, and the more of the priority requests, the nearer the fleet's
// load is to R. It also starts a new period, with a new subset.
func (m *Module) recomputeShedding() {
	q := 0.0
	if n := m.priorityArrivals + m.otherArrivals; n > 0 {
		q = (m.otherArrivals + m.priorityArrivals*m.overloadSum/m.ticks) / n
	}
	m.priorityDrop, m.otherDrop = ShedSplit(q, m.priorityArrivals, m.otherArrivals)
	m.priorityArrivals *= arrivalsCarriedOver
	m.otherArrivals *= arrivalsCarriedOver
	m.overloadSum, m.ticks, m.shedPeriodStart = 0, 0, m.now
	m.chooseSubset()
	for _, b := range m.subset {
		b.dither = m.random()
	}
}
