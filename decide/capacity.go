package decide

import (
	"math"
	"time"
)

const (
	// minEvenShare of an even part of all nodes' requests: what is less is noise.
	minEvenShare = 0.25
	// historyAfter is the time after a start from which figures of a backend count: reports are late, and
	// means take a while to hold.
	historyAfter = 3 * time.Second
	// rateTau, in seconds, smooths a backend's rate of answers and its utilisation.
	rateTau = 3.0
)

// rateOf returns the answers each second that this node gets from a backend, unbiased from the first
// second on.
func (m *Module) rateOf(b *backend) float64 {
	weightSeen := 1 - decay(m.now-b.firstSeen+tickInterval, rateTau)
	return b.answerRate * decay(m.now-b.answerRateAt, rateTau) / weightSeen
}

// capacityOf returns the rate at which a backend would answer this node with all its cores busy. What
// it answers now is only what was let through to it: thresholds drawn from that would hold a backend
// where it is, however idle.
func (m *Module) capacityOf(b *backend) float64 {
	rate := m.rateOf(b)
	if b.utilisation > 0 && m.now-b.utilisationAt <= 2*validity {
		// Cores are busy for all nodes. A node that has just started causes little of that yet, and by its own
		// rate alone would keep to that little: its share of the capacity is an even one at least.
		evenShares := math.Min(1, math.Max(m.trafficShare*float64(m.settings.Nodes), minEvenShare))
		rate /= math.Max(m.utilisationOf(b), minUtilisation) * evenShares
	}
	if m.capacityKnown && !m.hasHistory(b) {
		rate = m.warmth(b) * m.fleetCapacity
	}
	return rate
}

// hasHistory reports whether a backend's reports can be of the load that it has now. The first ones,
// late as they are, are of a process that had none: by them it could do ten times what it does.
func (m *Module) hasHistory(b *backend) bool { return m.now-b.firstSeen > historyAfter }

// utilisationOf returns the part of a backend's cores that is busy, unbiased as rateOf is and over the
// same time: first reports are of its idle time.
func (m *Module) utilisationOf(b *backend) float64 {
	return b.utilisation / (1 - decay(b.utilisationAt-b.firstSeen+tickInterval, rateTau))
}
