package decide

import "math"

const (
	// coldStartRate is the rate, in requests a second, of all nodes together to a cold backend while there
	// is no warm one to compare with.
	coldStartRate = 4.0
	// coldOverloadShare is the part, for all nodes together, of the load that makes a cold backend fall
	// over.
	coldOverloadShare = 0.5
)

// startCold gives a cold backend's budget a random beginning: a first request from every node at once
// would be a burst that none of them sees. What an older process answered says nothing of this one.
func (m *Module) startCold(b *backend, at Time) {
	b.cold, b.coldSince, b.tokens, b.tokensAt = true, at, m.random(), m.now
	b.answerRate, b.utilisation, b.answerRateAt, b.utilisationAt, b.firstSeen = 0, 0, m.now, m.now, m.now
}

// warmth returns the part of its full capacity that a backend has by now, at least.
func (m *Module) warmth(b *backend) float64 {
	warm := (m.now - b.coldSince).Seconds() / math.Max(m.settings.ColdTime.Seconds(), 1e-9)
	if b.cold = b.cold && warm < 1; !b.cold {
		return 1
	}
	return m.settings.ColdFrom + (1-m.settings.ColdFrom)*math.Max(0, warm)
}

// overColdBudget reports whether a cold backend's budget is spent. The budget is refilled by the part
// that the backend can do by now of this node's share of a warm one's capacity: the budgets of all
// nodes then sum up to what it can do. What the warm ones answer just now would be too little: a
// release that makes most backends cold cuts it, and with it the budgets. Nodes that do not have it in
// their subsets send nothing. The settings give the least that it can do; most can do more, and what
// it holds shows if not: so budgets are of half the load that would make it fall over.
func (m *Module) overColdBudget(b *backend) bool {
	part := m.warmth(b)
	if !b.cold {
		return false
	}
	warmRate := math.Max(m.fleetCapacity, coldStartRate/float64(m.settings.Nodes))
	rate := math.Max(1, coldOverloadShare*m.settings.OverloadFactor) * warmRate
	rate *= part
	if m.hasHistory(b) { // it has shown by now what it can do itself; the warm ones may be few, and slow
		rate = math.Max(rate, m.capacityOf(b))
	}
	b.tokens, b.tokensAt = math.Min(2, b.tokens+rate*(m.now-b.tokensAt).Seconds()), m.now
	return b.tokens < 1 || b.subsetNumber < m.subsetNumber
}

// warmCapacity returns what all ready backends can do by now, in warm backends.
func (m *Module) warmCapacity() (sum float64) {
	for _, b := range m.ready {
		sum += m.warmth(b)
	}
	return sum
}
