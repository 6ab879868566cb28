package decide

import "math"

const (
	// minimumBias is the share by which chance alone takes the minimum of a noisy mean below its true
	// value.
	minimumBias = 0.15
	// memoryTauSeconds is the time constant with which peaks and minima are forgotten: longer than
	// faults last.
	memoryTauSeconds = 600.0
)

// updateEstimates updates, once per tick, the estimates of the whole fleet that the thresholds need.
func (m *Module) updateEstimates() {
	rate, capacity := m.updateCapacity()
	m.answersSuffice = rate > 0 && m.answers >= 2*float64(len(m.subset))
	growth := 1 + tickInterval.Seconds()/memoryTauSeconds
	m.updateMinLatency(growth)
	m.updateSaturation(growth)
	m.updatePeakCapacity(growth, rate, capacity)
	m.updateLatencies(growth)
}

// updateCapacity updates the capacity of the mean backend and this node's share of all requests. It
// returns the sums of the rates and of the capacities of the backends in use that are neither suspect
// nor cold.
func (m *Module) updateCapacity() (rate, capacity float64) {
	count, measured, measuredCapacity, own, all := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, b := range m.subset {
		if !b.suspect && !b.cold {
			rate, count, capacity = rate+m.rateOf(b), count+1, capacity+m.capacityOf(b)
			if m.hasHistory(b) {
				measured, measuredCapacity = measured+1, measuredCapacity+m.capacityOf(b)
			}
		}
		if b.reportedInFlight > 0 && m.now-b.reportAt < 2*validityPeriod {
			own, all = own+b.inFlight, all+b.reportedInFlight
		}
	}
	if all > 0 {
		m.trafficShare += (own/all - m.trafficShare) * tickInterval.Seconds() / rateTauSeconds
	}
	if measured > 0 {
		m.meanCapacity = measuredCapacity / measured
	} else if count > 0 && !m.capacityKnown { // once known, it stays while no backend has a history
		m.meanCapacity = capacity / count
	}
	m.capacityKnown = m.capacityKnown || measured > 0
	return rate, capacity
}

// updateMinLatency tracks the lowest mean latency, corrected for the bias of a minimum.
func (m *Module) updateMinLatency(growth float64) {
	few := m.answers < 1/fleetGain // too few for a minimum
	m.minMeanLatency *= growth
	if few && m.estimatesKnownSince == m.startAt || !few && m.meanLatency < m.minMeanLatency*(1-minimumBias) {
		m.minMeanLatency = m.meanLatency / (1 - minimumBias)
	}
}

// updateSaturation tracks the lowest number of unqueued requests in flight per busy backend, according
// to reports.
func (m *Module) updateSaturation(growth float64) {
	saturation := m.unqueuedSum / math.Max(m.utilisationSum, minUtilisationSum)
	m.minSaturationInFlight *= growth
	if m.utilisationSum >= minUtilisationSum &&
		(m.minSaturationInFlight == 0 || saturation < m.minSaturationInFlight*(1-minimumBias)) {
		m.minSaturationInFlight = saturation / (1 - minimumBias)
	}
}

// updatePeakCapacity tracks the highest capacity of the mean backend. Where backends report their
// utilisation, the computed capacity exceeds their rate. A past peak then says less than the reports,
// so none is kept.
func (m *Module) updatePeakCapacity(growth, rate, capacity float64) {
	m.peakCapacity /= growth
	if capacity > rate {
		m.peakCapacity = 0
	} else if m.answersSuffice {
		m.peakCapacity = math.Max(m.peakCapacity, m.meanCapacity)
	}
}

// updateLatencies updates the baseline latency of each class and of the mean request, and the mean
// latency at which every class still meets its target.
func (m *Module) updateLatencies(growth float64) {
	m.targetLatency, m.baselineLatency = math.Inf(1), m.meanLatency
	baselineSum, expectedSum := 0.0, 0.0
	for _, c := range m.classOrder {
		expected := m.meanLatency * c.relativeCost
		c.updateBaselineLatency(growth)
		if c.baselineLatency > 0 && expected > 0 {
			baselineSum, expectedSum = baselineSum+c.baselineLatency, expectedSum+expected
			m.baselineLatency = m.meanLatency * baselineSum / expectedSum
		}
		if c.answers > 0 && c.Target > 0 {
			m.targetLatency = math.Min(m.targetLatency, m.meanLatency*targetShare*c.Target.Seconds()/expected)
		}
	}
}

// updateBaselineLatency tracks the lowest latency of the class, corrected for the bias of a minimum.
func (c *class) updateBaselineLatency(growth float64) {
	c.baselineLatency *= growth
	if c.answers >= 1/fleetGain &&
		(c.baselineLatency == 0 || c.latency < c.baselineLatency*(1-minimumBias)) {
		c.baselineLatency = c.latency / (1 - minimumBias)
	}
}
