package decide

import (
	"math"
	"time"
)

const (
	// reportThresholdFactor raises the thresholds for reports, which lag and are used in addition to
	// this node's own counts.
	reportThresholdFactor = 1.25
	// maxReportedInFlight bounds the requests in flight taken from a report; no backend makes use of
	// more.
	maxReportedInFlight = 1000.0
	// minUtilisation is the least utilisation that a capacity is computed from; a report of less says
	// little about the capacity.
	minUtilisation = 0.1
	// minUtilisationSum is the number of busy backends that must have reported lately; with fewer, the
	// estimate of saturation is noise.
	minUtilisationSum = 5.0
	// reportLagTauSeconds is the time constant with which reports catch up with a change of the list of
	// backends.
	reportLagTauSeconds = 1.0
	// meanInFlightTauSeconds is the time constant of the mean reported requests in flight: one validity
	// period.
	meanInFlightTauSeconds = 1.0
)

// recordReport records a backend's report of its load, which lags and counts the requests of all nodes.
// The report may impose a mode for one validity period. The thresholds for that are this node's,
// divided by its share of all requests.
func (m *Module) recordReport(b *backend, r *Report) {
	if r != nil && r.Utilisation > 0 {
		kept := decay(m.now-b.utilisationAt, rateTauSeconds) // as for answerRate, which capacityOf divides by it
		b.utilisation, b.utilisationAt = b.utilisation*kept+(1-kept)*math.Min(r.Utilisation, 1), m.now
	}
	if r == nil || !r.HasInFlight || !(r.InFlight >= 0) { // rejects NaN too
		return
	}
	m.recordInFlight(b, r)
	if m.hasPartialView() {
		return
	}
	h := reportThresholdFactor * m.highThreshold(b) / math.Max(m.trafficShare, 1e-9)
	b.reportedMode = NextMode(b.reportedMode, b.reportedInFlight, lowFactor*h, h, blockFactor*h+1)
	// Reports never block a backend: as they lag, all nodes would block it at the same time, and then
	// leave it idle at the same time.
	m.imposeMode(b, min(b.reportedMode, Overloaded))
}

// recordInFlight records the requests in flight that a backend reports, relative to what backends
// report on average, and updates the sums for the estimate of saturation.
func (m *Module) recordInFlight(b *backend, r *Report) {
	// A huge figure would block the backend for too long.
	b.reportedInFlight, b.reportAt = math.Min(r.InFlight, maxReportedInFlight), m.now
	gain := math.Max(fleetGain, 1-decay(m.now-m.meanInFlightAt, meanInFlightTauSeconds))
	m.meanInFlight += gain * (b.reportedInFlight - m.meanInFlight)
	b.inFlightExcess, m.meanInFlightAt = b.reportedInFlight-m.meanInFlight, m.now
	if m.baselineLatency > 0 && m.hasHistory(b) && !b.cold && r.Utilisation >= minUtilisation {
		// By Little's law requests in flight grow with latency: the part that exceeds the baseline
		// latency is queued.
		kept := decay(m.now-m.utilisationSumAt, rateTauSeconds)
		unqueued := b.reportedInFlight * math.Min(1, m.baselineLatency/m.latencyOf(b))
		m.unqueuedSum = m.unqueuedSum*kept + unqueued
		m.utilisationSum, m.utilisationSumAt = m.utilisationSum*kept+math.Min(r.Utilisation, 1), m.now
	}
}

// saturationInFlight returns the number of requests in flight, from all nodes, at which the cores of
// the mean backend are just busy, by its reports, or 0 if that is not known. It is the lowest estimate
// seen: in an overload only backends that still answer send reports, and their requests in flight
// include queues.
func (m *Module) saturationInFlight() float64 {
	if m.minSaturationInFlight == 0 && m.utilisationSum > 0 {
		return m.unqueuedSum / m.utilisationSum
	}
	return m.minSaturationInFlight
}

// estimatedInFlight returns the requests in flight at a backend, estimated from its last report. As
// that ages, the estimate drifts to the mean of all backends' reports and, without any reports, to 0.
// If it drifted directly to 0, a backend would look empty once its report is old, and in an overload
// every node would send its requests to such backends. A cold backend that has not reported counts as
// empty, since its budget limits its load.
func (m *Module) estimatedInFlight(b *backend) float64 {
	if b.cold && b.reportAt <= b.firstSeen {
		return 0
	}
	inFlight := m.decayedMeanInFlight() + b.inFlightExcess*decay(m.now-b.reportAt, staleLatencyTauSeconds)
	return math.Max(0, inFlight*(1+m.loadIncrease*decay(m.now-m.loadIncreaseAt, reportLagTauSeconds)))
}

// recordTimeout treats a timeout as a report: by Little's law the backend holds as many requests as it
// can answer in that time.
func (m *Module) recordTimeout(b *backend, took time.Duration) {
	if saturation := m.saturationInFlight(); saturation > 0 && m.baselineLatency > 0 && m.hasPartialView() {
		n := math.Max(m.estimatedInFlight(b), saturation*took.Seconds()/m.baselineLatency)
		b.inFlightExcess, b.reportAt = math.Min(n, maxReportedInFlight)-m.decayedMeanInFlight(), m.now
	}
}

// unresponsive reports whether a backend has not answered for much longer than the mean request takes.
func (m *Module) unresponsive(b *backend) bool {
	return b.unanswered > 0 && m.meanLatency > 0 &&
		(m.now-b.unansweredSince).Seconds() > unresponsiveFactor*math.Max(m.meanLatency, m.latencyOf(b))
}

// decayedMeanInFlight returns the mean requests in flight that backends report, which decays while
// there are no reports.
func (m *Module) decayedMeanInFlight() float64 {
	return m.meanInFlight * decay(m.now-m.meanInFlightAt, staleLatencyTauSeconds)
}
