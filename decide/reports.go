package decide

import (
	"math"
	"time"
)

const (
	// reportThresholdFactor raises thresholds for reports, which lag and come on top of own counts.
	reportThresholdFactor = 1.25
	// maxReportedInFlight bounds the requests that a report counts; no backend holds more to any use.
	maxReportedInFlight = 1000.0
	// minUtilisation of a backend's cores: a report of less says little of what it could do.
	minUtilisation = 0.1
	// minReportedBusy is the number of busy backends that must have reported lately; fewer are chance.
	minReportedBusy = 5.0
	// surgeTau, in seconds, is how long reports lag behind a change of the list of backends.
	surgeTau = 1.0
	// typicalTau, in seconds, smooths what backends hold: one validity.
	typicalTau = 1.0
)

// recordReport takes a backend's own account of its load, which is late and counts the requests of all
// nodes. It may impose a mode until that lapses; the thresholds for that are this node's, scaled by
// its share of all requests.
func (m *Module) recordReport(b *backend, r *Report) {
	if r != nil && r.Utilisation > 0 {
		kept := decay(m.now-b.utilisationAt, rateTau) // as of the rate, for their quotient
		b.utilisation, b.utilisationAt = b.utilisation*kept+(1-kept)*math.Min(r.Utilisation, 1), m.now
	}
	if r == nil || !r.HasInFlight || !(r.InFlight >= 0) { // not a number either
		return
	}
	m.recordHeld(b, r)
	if m.seesLittle() {
		return
	}
	h := reportThresholdFactor * m.highThreshold(b) / math.Max(m.trafficShare, 1e-9)
	b.reportedMode = NextMode(b.reportedMode, b.reportedInFlight, lowFactor*h, h, blockFactor*h+1)
	// Never blocking: on late reports all nodes would block, then idle, at once.
	m.imposeMode(b, min(b.reportedMode, Overloaded))
}

// recordHeld takes the requests that a backend reports to hold, and compares them with what backends
// hold typically and with how busy they are.
func (m *Module) recordHeld(b *backend, r *Report) {
	// A huge figure would block the backend for too long.
	b.reportedInFlight, b.reportAt = math.Min(r.InFlight, maxReportedInFlight), m.now
	gain := math.Max(classGain, 1-decay(m.now-m.typicalHeldAt, typicalTau))
	m.typicalHeld += gain * (b.reportedInFlight - m.typicalHeld)
	b.reportExcess, m.typicalHeldAt = b.reportedInFlight-m.typicalHeld, m.now
	if m.uncrowdedLatency > 0 && m.hasHistory(b) && !b.cold && r.Utilisation >= minUtilisation {
		// By Little's law a backend holds the more, the longer its answers take: that part is a queue.
		kept := decay(m.now-m.reportedHeldAt, rateTau)
		unqueued := b.reportedInFlight * math.Min(1, m.uncrowdedLatency/m.latencyOf(b))
		m.reportedHeld = m.reportedHeld*kept + unqueued
		m.reportedBusy, m.reportedHeldAt = m.reportedBusy*kept+math.Min(r.Utilisation, 1), m.now
	}
}

// saturation returns what the mean backend holds for all nodes with its cores just busy, by its
// reports, or 0 if that is not known. It is the least that this has been: in a jam only backends that
// still answer report, and they hold queues.
func (m *Module) saturation() float64 {
	if m.leastSaturation == 0 && m.reportedBusy > 0 {
		return m.reportedHeld / m.reportedBusy
	}
	return m.leastSaturation
}

// estimatedHeld returns the requests that a backend holds by its last report. The estimate drifts to
// what all backends report and, without reports, to nothing. Drifting to nothing by itself would make
// a backend look empty once its report is old, and in a jam all nodes would always find such backends.
// Cold backends have a budget: before they report they hold nothing.
func (m *Module) estimatedHeld(b *backend) float64 {
	if b.cold && b.reportAt <= b.firstSeen {
		return 0
	}
	held := m.fadedTypicalHeld() + b.reportExcess*decay(m.now-b.reportAt, staleLatencyTau)
	return math.Max(0, held*(1+m.surge*decay(m.now-m.surgeAt, surgeTau)))
}

// recordTimeout takes a time-out for a report: by Little's law a backend holds what it can do in that
// time.
func (m *Module) recordTimeout(b *backend, took time.Duration) {
	if full := m.saturation(); full > 0 && m.uncrowdedLatency > 0 && m.seesLittle() {
		n := math.Max(m.estimatedHeld(b), full*took.Seconds()/m.uncrowdedLatency)
		b.reportExcess, b.reportAt = math.Min(n, maxReportedInFlight)-m.fadedTypicalHeld(), m.now
	}
}

// unresponsive reports whether a backend has not answered for a time in which the mean request of the
// fleet is long done.
func (m *Module) unresponsive(b *backend) bool {
	return b.unanswered > 0 && m.meanLatency > 0 &&
		(m.now-b.unansweredSince).Seconds() > unresponsiveFactor*math.Max(m.meanLatency, m.latencyOf(b))
}

// fadedTypicalHeld returns what backends typically hold, fading where it is not renewed.
func (m *Module) fadedTypicalHeld() float64 {
	return m.typicalHeld * decay(m.now-m.typicalHeldAt, staleLatencyTau)
}
