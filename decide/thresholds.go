package decide

import "math"

const (
	// targetShare is the share of a class's latency target that its mean latency may take, as the tail
	// of the latencies is long.
	targetShare = 0.4
	// partialViewTargetShare replaces targetShare at nodes with a partial view, whose latencies are
	// means over the fleet.
	partialViewTargetShare = 0.6
	// maxPartialViewQueue bounds the number of requests ahead of a new one that a node with a partial
	// view accepts at a backend; with more, backends become slow.
	maxPartialViewQueue = 2.0
	// queuedLatencyFactor is the desired latency, with queueing, as a multiple of the baseline latency:
	// long queues do harm where many concurrent requests slow a backend down.
	queuedLatencyFactor = 1.8
	// looseTargetShare is the share of targetLatency that queueing may take where the targets are far
	// above the baseline latency.
	looseTargetShare = 0.6
	// looseLatencyFactor bounds the desired latency, as a multiple of the baseline latency, where the
	// targets are far above that.
	looseLatencyFactor = 4.0
	// maxHeadroomFactor bounds the factor by which H grows while the mean latency is below the desired
	// latency.
	maxHeadroomFactor = 3.0
	// minWindow is the least number of requests that all nodes together may have in flight at a
	// backend, whether or not its capacity is known.
	minWindow = 2.0
	// fleetWeight is the weight of the whole fleet's capacity in H: noise in a backend's own figures
	// must not starve it.
	fleetWeight = 0.3
)

// highThreshold returns H, the number of requests that this node may have in flight at a backend. By
// Little's law it is the backend's capacity times the desired latency, and more while answers come
// faster than desired. Part of the capacity is the mean of the fleet, since chance must not starve a
// backend. Queues are kept short, as some backends stay slow for long after too many concurrent
// requests.
func (m *Module) highThreshold(b *backend) float64 {
	if !m.answersSuffice {
		return 2 * minWindow / float64(m.settings.Nodes)
	}
	relativeSpeed := math.Min(1, m.meanLatency/m.latencyOf(b))
	rate := (1-fleetWeight)*m.capacityOf(b) + fleetWeight*m.meanCapacity*relativeSpeed
	desired := m.desiredLatency()
	baseline := m.baselineLatency * math.Max(1, m.peakCapacity/m.meanCapacity)
	h := rate * math.Max(baseline, desired*math.Min(maxHeadroomFactor, desired/m.meanLatency))
	return math.Max(h, minWindow/float64(m.settings.Nodes))
}

// desiredLatency returns the mean latency in seconds, with queueing, that the latency targets leave
// room for.
func (m *Module) desiredLatency() float64 {
	loose := math.Min(looseLatencyFactor*m.baselineLatency, looseTargetShare*m.targetLatency)
	return math.Min(math.Max(queuedLatencyFactor*m.baselineLatency, loose), m.targetLatency)
}

// load returns the load n of a backend and its threshold H. If this node has a full view, n is its own
// attempts in flight, and H is rounded up or down at random, so that the mean of H over all nodes stays
// the same. A node with a partial view sends a backend less than one request per validity period, so
// its own count says nothing: n is estimated from reports or, without those, from latency.
func (m *Module) load(b *backend) (n, h float64) {
	if !m.hasPartialView() {
		return b.inFlight, math.Floor(m.highThreshold(b) + b.dither)
	}
	if m.baselineLatency == 0 || m.minMeanLatency == 0 || m.targetLatency == 0 {
		return b.inFlight, 1
	}
	if saturation := m.saturationInFlight(); saturation > 0 {
		return m.loadByReports(b, saturation)
	}
	return m.loadByLatency(b)
}

// loadByReports returns the requests in flight at a backend by its reports, and as H the number that
// keeps its cores just busy, raised by the queueing that the targets allow. While the backend is
// unresponsive, n grows with the time since the first unanswered send.
func (m *Module) loadByReports(b *backend, saturation float64) (n, h float64) {
	h = saturation * math.Max(1, math.Min(queuedLatencyFactor, m.desiredLatency()/m.baselineLatency))
	// Division by the node's share scales its own requests up to those of all nodes. As for H, dither
	// rounds at random: one request more or less is chance.
	n = math.Max((b.inFlight-b.dither)/math.Max(m.trafficShare, 1/float64(m.settings.Nodes)),
		m.estimatedInFlight(b))
	if waited := (m.now - b.unansweredSince).Seconds(); b.inFlight > 0 && m.unresponsive(b) {
		n = math.Max(n, saturation*waited/m.baselineLatency)
	}
	return n, math.Max(1, h)
}

// loadByLatency returns the load of a backend by its latency: n is the number of requests ahead of a
// new one, which is the latency in units of the lowest mean latency, less 1. n decays while no answers
// come.
func (m *Module) loadByLatency(b *backend) (n, h float64) {
	target := m.targetLatency * partialViewTargetShare / targetShare
	unit := math.Min(m.minMeanLatency, target) // in an overload, a new node has too high a minimum
	latency := m.recentLatency + b.latencyExcess*decay(m.now-b.latencyAt, staleLatencyTauSeconds)
	n = (latency/unit - 1) * decay(m.now-m.lastAnswerAt, staleLatencyTauSeconds)
	if b.unanswered > 0 && b.inFlight > 0 { // the latency of an attempt in flight is at least its age
		n = math.Max(n, (m.now-b.unansweredSince).Seconds()/unit-1)
	}
	return n, math.Max(1, math.Min(maxPartialViewQueue, target/unit))
}

// hasPartialView reports whether this node's own counts say little about the load of its backends:
// other nodes send them most of their requests, or this node sends each less than one per validity
// period.
func (m *Module) hasPartialView() bool {
	return len(m.subset) < len(m.ready) || m.arrivalRate*validityPeriod.Seconds() < float64(len(m.subset))
}
