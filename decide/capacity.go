package decide

import (
	"math"
	"time"
)

const (
	// minEvenShare is the least share of the traffic from which capacityOf extrapolates, as a multiple
	// of an even share among the nodes; a smaller share is noise.
	minEvenShare = 0.25
	// minHistory is the time after a backend's start from which its measurements count: reports lag,
	// and averages take a while to settle.
	minHistory = 3 * time.Second
	// rateTauSeconds is the time constant of a backend's smoothed answer rate and utilisation.
	rateTauSeconds = 3.0
)

// rateOf returns the answers per second that this node gets from a backend, corrected for the start of
// the smoothed rate at 0.
func (m *Module) rateOf(b *backend) float64 {
	weightSeen := 1 - decay(m.now-b.firstSeen+tickInterval, rateTauSeconds)
	return b.answerRate * decay(m.now-b.answerRateAt, rateTauSeconds) / weightSeen
}

// capacityOf returns the rate at which a backend would answer this node with all its cores busy. The
// current rate is only what was let through to the backend: thresholds computed from it would keep a
// backend at its current load, however idle it is.
func (m *Module) capacityOf(b *backend) float64 {
	rate := m.rateOf(b)
	if b.utilisation > 0 && m.now-b.utilisationAt <= 2*validityPeriod {
		// Cores are busy with the requests of all nodes. A node that has just started causes little of
		// that load, and would never send more if it went by its own rate alone. So it counts at least an
		// even share of the capacity as its own.
		relativeShare := math.Min(1, math.Max(m.trafficShare*float64(m.settings.Nodes), minEvenShare))
		rate /= math.Max(m.utilisationOf(b), minUtilisation) * relativeShare
	}
	if m.capacityKnown && !m.hasHistory(b) {
		rate = m.warmth(b) * m.meanCapacity
	}
	return rate
}

// hasHistory reports whether a backend's reports can reflect the load that it has now. Reports lag, so
// the first ones are of a process without load, and a capacity computed from them would be ten times
// the backend's rate (1/minUtilisation).
func (m *Module) hasHistory(b *backend) bool { return m.now-b.firstSeen > minHistory }

// utilisationOf returns the share of a backend's cores that is busy, with the time constant and the
// correction of rateOf: the first reports are of idle time.
func (m *Module) utilisationOf(b *backend) float64 {
	return b.utilisation / (1 - decay(b.utilisationAt-b.firstSeen+tickInterval, rateTauSeconds))
}
