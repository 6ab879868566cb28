package decide

import "math"

const (
	// leastNoise is the part by which chance alone takes a mean under its true value.
	leastNoise = 0.15
	// memoryTau, in seconds, is the time in which peaks and uncrowded latencies are forgotten: longer than
	// faults last.
	memoryTau = 600.0
)

// updateEstimates renews, once a tick, what the thresholds need to know of the whole fleet.
func (m *Module) updateEstimates() {
	rate, capacity := m.updateCapacity()
	m.answersSuffice = rate > 0 && m.answers >= 2*float64(len(m.subset))
	growth := 1 + tickInterval.Seconds()/memoryTau
	m.updateLeastLatency(growth)
	m.updateSaturation(growth)
	m.updatePeak(growth, rate, capacity)
	m.updateLatencies(growth)
}

// updateCapacity renews the capacity of the mean backend and the share that this node has of all
// requests. It returns the sums of the rates and of the capacities of the backends in use.
func (m *Module) updateCapacity() (rate, capacity float64) {
	count, tried, triedCapacity, own, all := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, b := range m.subset {
		if !b.suspect && !b.cold {
			rate, count, capacity = rate+m.rateOf(b), count+1, capacity+m.capacityOf(b)
			if m.hasHistory(b) {
				tried, triedCapacity = tried+1, triedCapacity+m.capacityOf(b)
			}
		}
		if b.reportedInFlight > 0 && m.now-b.reportAt < 2*validity {
			own, all = own+b.inFlight, all+b.reportedInFlight
		}
	}
	if all > 0 {
		m.trafficShare += (own/all - m.trafficShare) * tickInterval.Seconds() / rateTau
	}
	if tried > 0 {
		m.fleetCapacity = triedCapacity / tried
	} else if count > 0 && !m.capacityKnown { // with none warm, what the last ones could do still holds
		m.fleetCapacity = capacity / count
	}
	m.capacityKnown = m.capacityKnown || tried > 0
	return rate, capacity
}

// updateLeastLatency follows the least that the mean latency has been. The least of a noisy mean lies
// below its true value.
func (m *Module) updateLeastLatency(growth float64) {
	few := m.answers < 1/classGain // they say nothing of a least
	m.leastLatency *= growth
	if few && m.sizesKnownSince == m.startAt || !few && m.meanLatency < m.leastLatency*(1-leastNoise) {
		m.leastLatency = m.meanLatency / (1 - leastNoise)
	}
}

// updateSaturation follows the least that backends have reported to hold for each busy one.
func (m *Module) updateSaturation(growth float64) {
	held := m.reportedHeld / math.Max(m.reportedBusy, minReportedBusy)
	m.leastSaturation *= growth
	if m.reportedBusy >= minReportedBusy &&
		(m.leastSaturation == 0 || held < m.leastSaturation*(1-leastNoise)) {
		m.leastSaturation = held / (1 - leastNoise)
	}
}

// updatePeak follows the most that the mean backend has been able to do. Where backends report how
// busy they are, what they once did says less, and there is no peak.
func (m *Module) updatePeak(growth, rate, capacity float64) {
	m.peakCapacity /= growth
	if capacity > rate {
		m.peakCapacity = 0
	} else if m.answersSuffice {
		m.peakCapacity = math.Max(m.peakCapacity, m.fleetCapacity)
	}
}

// updateLatencies renews the uncrowded latency of each class and of the mean request, and the latency
// at which every class still meets its target.
func (m *Module) updateLatencies(growth float64) {
	m.targetLatency, m.uncrowdedLatency = math.Inf(1), m.meanLatency
	uncrowded, expectedSum := 0.0, 0.0
	for _, c := range m.classOrder {
		expected := m.meanLatency * c.relativeCost
		c.updateUncrowdedLatency(growth)
		if c.uncrowdedLatency > 0 && expected > 0 {
			uncrowded, expectedSum = uncrowded+c.uncrowdedLatency, expectedSum+expected
			m.uncrowdedLatency = m.meanLatency * uncrowded / expectedSum
		}
		if c.answers > 0 && c.Target > 0 {
			m.targetLatency = math.Min(m.targetLatency, m.meanLatency*targetShare*c.Target.Seconds()/expected)
		}
	}
}

// updateUncrowdedLatency follows the least that the class's latency has been.
func (c *class) updateUncrowdedLatency(growth float64) {
	c.uncrowdedLatency *= growth
	if c.answers >= 1/classGain &&
		(c.uncrowdedLatency == 0 || c.latency < c.uncrowdedLatency*(1-leastNoise)) {
		c.uncrowdedLatency = c.latency / (1 - leastNoise)
	}
}
