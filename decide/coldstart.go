package decide

import "math"

const (
	// coldStartRate is the rate, in requests per second from all nodes together, at which a cold
	// backend is used while there is no warm one to compare it with.
	coldStartRate = 4.0
	// coldOverloadShare is the load that all nodes together may send to a cold backend, as a share of
	// the load that makes it fall over.
	coldOverloadShare = 0.5
)

// startCold marks a backend as cold and sets its budget to a random part of a request: a first request
// from every node at once would be a burst that no single node can see. The measurements are reset, as
// those of an earlier process say nothing about this one.
func (m *Module) startCold(b *backend, at Time) {
	b.cold, b.coldSince, b.tokens, b.tokensAt = true, at, m.random(), m.now
	b.answerRate, b.utilisation, b.answerRateAt, b.utilisationAt, b.firstSeen = 0, 0, m.now, m.now, m.now
}

// warmth returns the least share of its full capacity that a backend must have reached. It ends the
// cold state of a backend that is warm.
func (m *Module) warmth(b *backend) float64 {
	warm := (m.now - b.coldSince).Seconds() / math.Max(m.settings.WarmUpTime.Seconds(), 1e-9)
	if b.cold = b.cold && warm < 1; !b.cold {
		return 1
	}
	return m.settings.ColdStartShare + (1-m.settings.ColdStartShare)*math.Max(0, warm)
}

// overColdBudget reports whether a cold backend's budget of sends is spent, or the backend is outside
// the subset of this node, which then sends it nothing. The budget is a token bucket that refills at
// this node's share of a warm backend's capacity, times the share of its capacity that the cold backend
// has reached. The budgets of all nodes then add up to what the backend can do. The rate at which warm
// backends currently answer would be too low a basis: a release that makes most backends cold cuts that
// rate, and would cut the budgets with it. The settings give the least that a cold backend can do. Most
// can do more, and the load that a backend reports shows if it cannot. So the budgets allow half the
// load that would make it fall over.
func (m *Module) overColdBudget(b *backend) bool {
	part := m.warmth(b)
	if !b.cold {
		return false
	}
	warmRate := math.Max(m.meanCapacity, coldStartRate/float64(m.settings.Nodes))
	rate := math.Max(1, coldOverloadShare*m.settings.OverloadFactor) * warmRate
	rate *= part
	if m.hasHistory(b) { // its own rate shows what it can do; the warm backends may be few and slow
		rate = math.Max(rate, m.capacityOf(b))
	}
	b.tokens, b.tokensAt = math.Min(2, b.tokens+rate*(m.now-b.tokensAt).Seconds()), m.now
	return b.tokens < 1 || b.subsetGeneration < m.subsetGeneration
}

// warmCapacity returns the current capacity of all ready backends, in units of one warm backend.
func (m *Module) warmCapacity() (sum float64) {
	for _, b := range m.ready {
		sum += m.warmth(b)
	}
	return sum
}
