package admission

import "time"

const (
	// reportMemory is the time within which a backend's report drifts to the pool's typical load.
	reportMemory = time.Second
	// waitingWeight is the weight of a request that waits at a backend of streams, for the selection.
	waitingWeight = 2.0
	// runningWeight is the weight of a request that runs there.
	runningWeight = 0.05
)

// addRequest counts a request that is sent to the backend.
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

// removeRequest counts a request that has ended.
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

// removeUnanswered counts a request that no longer waits for the first byte of its answer.
func (b *backend) removeUnanswered(weight float64) {
	b.unanswered--
	b.pending -= weight
	if b.unanswered == 0 {
		b.pending = 0
	}
}

// recordLoad takes a report of the backend, made when this node had own requests there.
func (b *backend) recordLoad(at time.Time, own int, load *Load) {
	if load.Slots > 0 {
		b.slots = float64(load.Slots)
	}
	b.othersInFlight = float64(max(0, load.Running+load.Waiting-own))
	b.waiting = load.Waiting
	b.othersWaiting = float64(max(0, load.Waiting-b.unanswered))
	b.reportedAt = at
}

// otherRequests returns the number of requests that other nodes are estimated to have at the backend.
func (b *backend) otherRequests(now time.Time, p *Pool) float64 {
	if p.hasSharedLoads(now) {
		return b.otherNodes.inFlight
	}
	if b.reportedAt.IsZero() {
		return p.typicalOthers(now, b.slots)
	}
	fresh := freshness(now.Sub(b.reportedAt), reportMemory)
	if fresh == 1 {
		return b.othersInFlight
	}
	return fresh*b.othersInFlight + (1-fresh)*p.typicalOthers(now, b.slots)
}

// allUnanswered returns the number of requests of all nodes that are estimated to wait for the first byte of an answer.
func (b *backend) allUnanswered(now time.Time, p *Pool) float64 {
	if p.hasSharedLoads(now) {
		return float64(b.unanswered) + b.otherNodes.unanswered
	}
	return float64(b.unanswered) + b.othersWaiting*freshness(now.Sub(b.reportedAt), reportMemory)
}

// queueAhead returns the work before a new request, in requests. Where answers are streams, most of the work of a request
// comes before its first byte: running streams count little, and waiting requests have all of their work before them.
func (b *backend) queueAhead(now time.Time, load, others float64, p *Pool) float64 {
	if !p.isStreaming() {
		return load
	}
	if p.hasSharedLoads(now) {
		return b.pending + b.otherNodes.pending + waitingWeight*max(0, load+1-b.slots) + runningWeight*load
	}
	waiting := min(others, float64(b.waiting)*freshness(now.Sub(b.reportedAt), reportMemory))
	running := max(0, load-b.pending-waiting)
	return b.pending + waitingWeight*waiting + runningWeight*running
}

// steadySlots returns the number of requests that the backend takes without harm in any case.
func (b *backend) steadySlots() float64 {
	return max(steadyFraction*b.slots, min(b.slots, steadySlots))
}

// hasFreeSlots reports whether the backend has free slots and no request waits there, as far as is known.
func (b *backend) hasFreeSlots(now time.Time, others float64) bool {
	if b.waiting > 0 && now.Sub(b.reportedAt) < reportMemory {
		return false
	}
	return float64(b.inFlight)+others < b.steadySlots()
}
