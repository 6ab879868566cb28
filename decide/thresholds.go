package decide

import "math"

const (
	// targetShare is the part of a class's latency target that its mean latency may take, as tails are
	// long.
	targetShare = 0.4
	// sparseTargetShare replaces targetShare at nodes with few requests, whose latencies are means over
	// the fleet.
	sparseTargetShare = 0.6
	// maxSparseQueue bounds the requests ahead of one's own at a node with few requests; more turns
	// backends slow.
	maxSparseQueue = 2.0
	// queuedLatencyFactor is the desired latency, with queues, as a multiple of the uncrowded one: long
	// queues harm where crowding slows backends down.
	queuedLatencyFactor = 1.8
	// roomyTargetShare is the part of the latency that targets allow that queues may fill where that is
	// long,
	roomyTargetShare = 0.6
	// roomyLatencyFactor bounds such queues, as a multiple of the uncrowded latency.
	roomyLatencyFactor = 4.0
	// maxQuickening bounds by how much more of the desired latency counts where answers come faster.
	maxQuickening = 3.0
	// minWindow is the least number of requests of all nodes together at a backend, learned or not.
	minWindow = 2.0
	// fleetWeight is the part of H that is drawn from the whole fleet: noise in its own figures must not
	// starve a backend.
	fleetWeight = 0.3
)

// highThreshold returns H: by Little's law the requests that this node may have at a backend whose
// answers come as fast as the latency targets want, and more, the faster they come. Part of it is the
// mean of the fleet, since chance must not starve a backend. Queues stay small, as some backends turn
// slow for long when crowded.
func (m *Module) highThreshold(b *backend) float64 {
	if !m.answersSuffice {
		return 2 * minWindow / float64(m.settings.Nodes)
	}
	quickness := math.Min(1, m.meanLatency/m.latencyOf(b))
	rate := (1-fleetWeight)*m.capacityOf(b) + fleetWeight*m.fleetCapacity*quickness
	want := m.desiredLatency()
	uncrowded := m.uncrowdedLatency * math.Max(1, m.peakCapacity/m.fleetCapacity)
	h := rate * math.Max(uncrowded, want*math.Min(maxQuickening, want/m.meanLatency))
	return math.Max(h, minWindow/float64(m.settings.Nodes))
}

// desiredLatency returns the mean latency in seconds, with queues, that the latency targets leave room
// for.
func (m *Module) desiredLatency() float64 {
	roomy := math.Min(roomyLatencyFactor*m.uncrowdedLatency, roomyTargetShare*m.targetLatency)
	return math.Min(math.Max(queuedLatencyFactor*m.uncrowdedLatency, roomy), m.targetLatency)
}

// load returns the load n of a backend and its threshold H. H is rounded up or down at random, so that
// its mean over all nodes is kept. A node with few requests sends a backend less than one request in a
// validity, so its own count says nothing: there n is estimated from reports or, without those, from
// latency.
func (m *Module) load(b *backend) (n, h float64) {
	if !m.seesLittle() {
		return b.inFlight, math.Floor(m.highThreshold(b) + b.dither)
	}
	if m.uncrowdedLatency == 0 || m.leastLatency == 0 || m.targetLatency == 0 {
		return b.inFlight, 1
	}
	if saturation := m.saturation(); saturation > 0 {
		return m.loadByReports(b, saturation)
	}
	return m.loadByLatency(b)
}

// loadByReports returns the load of a backend by what it reports to hold, against what backends hold
// with their cores just busy. While the backend does not answer, the load grows with the time.
func (m *Module) loadByReports(b *backend, saturation float64) (n, h float64) {
	h = saturation * math.Max(1, math.Min(queuedLatencyFactor, m.desiredLatency()/m.uncrowdedLatency))
	// What this node has there, the others have by their shares. One more or less is chance, as with H.
	n = math.Max((b.inFlight-b.dither)/math.Max(m.trafficShare, 1/float64(m.settings.Nodes)), m.estimatedHeld(b))
	if waited := (m.now - b.unansweredSince).Seconds(); b.inFlight > 0 && m.unresponsive(b) {
		n = math.Max(n, saturation*waited/m.uncrowdedLatency)
	}
	return n, math.Max(1, h)
}

// loadByLatency returns the load of a backend as the requests ahead of one's own, by its latency in
// units of the uncrowded one. What is not renewed lapses.
func (m *Module) loadByLatency(b *backend) (n, h float64) {
	target := m.targetLatency * sparseTargetShare / targetShare
	unit := math.Min(m.leastLatency, target) // a node that starts in a jam takes that for its least
	latency := m.recentLatency + b.latencyExcess*decay(m.now-b.latencyAt, staleLatencyTau)
	n = (latency/unit - 1) * decay(m.now-m.answeredAt, staleLatencyTau)
	if b.unanswered > 0 && b.inFlight > 0 { // an attempt in flight has taken at least as long as it has been out
		n = math.Max(n, (m.now-b.unansweredSince).Seconds()/unit-1)
	}
	return n, math.Max(1, math.Min(maxSparseQueue, target/unit))
}

// seesLittle reports whether this node's own counts say little of its backends: other nodes send them
// most of their requests, or this node sends less than one in a validity.
func (m *Module) seesLittle() bool {
	return len(m.subset) < len(m.ready) || m.arrivalRate*validity.Seconds() < float64(len(m.subset))
}
