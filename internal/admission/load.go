package admission

import "time"

const (
	// reportDecayTime is the time in which the typical load of the pool replaces a backend's report.
	reportDecayTime = time.Second
	// waitingWeight is the weight in queueAhead of a waiting request at a backend whose responses are streams.
	waitingWeight = 2.0
	// runningWeight is the weight in queueAhead of a running request there.
	runningWeight = 0.05
)

// addRequest adds a request that is sent to the backend.
func (b *backend) addRequest(now time.Time, c class, weight float64) {
	if c == batch {
		b.batchInFlight++
	}
	if b.unanswered == 0 {
		b.unansweredSince = now
	}
	b.unanswered++
	b.pending += weight
	b.inFlight++
	b.weight += weight
}

// removeRequest removes a request that has ended.
func (b *backend) removeRequest(c class, weight float64) {
	if c == batch {
		b.batchInFlight--
	}
	b.inFlight--
	b.weight -= weight
	if b.inFlight == 0 {
		b.weight = 0
	}
}

// removeUnanswered removes a request from the unanswered ones: its response has started, or the request has ended.
func (b *backend) removeUnanswered(weight float64) {
	b.unanswered--
	b.pending -= weight
	if b.unanswered == 0 {
		b.pending = 0
	}
}

// recordLoad records a report that the backend made at the given time, when this node had ownInFlight requests there.
func (b *backend) recordLoad(at time.Time, ownInFlight int, load *Load) {
	if load.Slots > 0 {
		b.slots = float64(load.Slots)
	}
	b.othersInFlight = float64(max(0, load.Running+load.Waiting-ownInFlight))
	b.waiting = load.Waiting
	b.othersWaiting = float64(max(0, load.Waiting-b.unanswered))
	b.reportedAt = at
}

// otherRequests returns the estimated number of requests of other nodes at the backend.
func (b *backend) otherRequests(now time.Time, p *Pool) float64 {
	if p.hasSharedLoads(now) {
		return b.otherNodes.inFlight
	}
	if b.reportedAt.IsZero() {
		return p.typicalOthers(now, b.slots)
	}
	fresh := freshness(now.Sub(b.reportedAt), reportDecayTime)
	if fresh == 1 {
		return b.othersInFlight
	}
	return fresh*b.othersInFlight + (1-fresh)*p.typicalOthers(now, b.slots)
}

// allUnanswered returns the estimated number of requests of all nodes without the first byte of a response.
func (b *backend) allUnanswered(now time.Time, p *Pool) float64 {
	if p.hasSharedLoads(now) {
		return float64(b.unanswered) + b.otherNodes.unanswered
	}
	return float64(b.unanswered) + b.othersWaiting*freshness(now.Sub(b.reportedAt), reportDecayTime)
}

// queueAhead returns the work that the backend has to do before a new request, in requests. If responses are streams, most
// of the work of a request precedes its first byte, so running streams count little, and waiting requests more.
func (b *backend) queueAhead(now time.Time, load, others float64, p *Pool) float64 {
	if !p.isStreaming() {
		return load
	}
	if p.hasSharedLoads(now) {
		return b.pending + b.otherNodes.pending + waitingWeight*max(0, load+1-b.slots) + runningWeight*load
	}
	waiting := min(others, float64(b.waiting)*freshness(now.Sub(b.reportedAt), reportDecayTime))
	running := max(0, load-b.pending-waiting)
	return b.pending + waitingWeight*waiting + runningWeight*running
}

// minLiveHigh returns the lower bound of H of live requests: a load that is harmless whatever the backend's latency is.
func (b *backend) minLiveHigh() float64 {
	return max(minLiveHighFraction*b.slots, min(b.slots, minLiveHighSlots))
}

// hasFreeSlots reports whether the requests at the backend are fewer than minLiveHigh, and no recent report shows waiting
// requests.
func (b *backend) hasFreeSlots(now time.Time, others float64) bool {
	if b.waiting > 0 && now.Sub(b.reportedAt) < reportDecayTime {
		return false
	}
	return float64(b.inFlight)+others < b.minLiveHigh()
}
