package admission

import "time"

const (
	lowFraction       = 0.85 // L as a part of H
	queueFraction     = 1.5  // R above the slots, as a part of them: backends queue three to four times their slots
	blockFactor       = 1.25 // R as a multiple of H, at least
	steadySlots       = 16   // H of live requests comes down to no less than this, or
	steadyFraction    = 0.5  // to this part of the slots: requests that are refused below it are dear
	liveHighCrowding  = 6.0  // multiple of the uncrowded latency at which H lies, where that is below the slots
	liveBlockCrowding = 20.0 // the same for R
	batchMaxFraction  = 0.5  // of the slots: H of batch work, which leaves room for live requests,
	batchMinFraction  = 0.1  // and comes down to this part where
	batchCrowding     = 2.5  // answers take longer than this multiple of the uncrowded latency
	batchBlockFactor  = 2.0  // R of batch work as a multiple of H
	// Where it is known what all nodes have at a backend, batch work takes the room that live requests leave:
	batchSharedHighFraction  = 1.0 // H as a part of the slots,
	batchSharedBlockFraction = 1.3 // and R
	// Where nobody tells, other nodes may have as much there:
	batchBlindHighFraction  = 0.25  // H as a part of the slots,
	batchBlindBlockFraction = 0.375 // and R
	// batchPrompts is how many requests of all nodes an uncrowded backend may have without a first part of an answer for batch
	// work to be blocked there: its prompts come by the dozen and would hold up live ones. It falls with the crowding.
	batchUnanswered = 1.5
	coldFraction    = 0.5 // of the thresholds, for cold backends
	minHigh         = 1.0
)

// thresholds are L, H and R of one backend for one class of requests.
type thresholds struct{ low, high, block float64 }

// thresholdsOf gives the thresholds of a backend with count n and a latency. By Little's law latency grows with the
// count, so the count at which it would be k times the uncrowded one is n x k / crowding.
func (p *Pool) thresholdsOf(now time.Time, b *backend, c class, n, latency float64) thresholds {
	crowding := p.crowding(latency)
	var t thresholds
	switch {
	case c == batch && p.hasSharedLoads(now):
		t.high = batchSharedHighFraction * b.slots
		t.block = batchSharedBlockFraction * b.slots
	case c == batch && !p.backendsReportLoad():
		t.high = batchBlindHighFraction * b.slots
		t.block = batchBlindBlockFraction * b.slots
	case c == batch:
		t.high = clamp(n*batchCrowding/crowding, batchMinFraction*b.slots, batchMaxFraction*b.slots)
		t.block = batchBlockFactor * t.high
	default:
		t.high = clamp(n*liveHighCrowding/crowding, b.steadySlots(), b.slots)
		t.block = clamp(n*liveBlockCrowding/crowding, blockFactor*t.high, (1+queueFraction)*b.slots)
	}
	if b.cold(now) {
		t.high *= coldFraction
		t.block *= coldFraction
	}
	t.high = max(t.high, minHigh)
	t.block = max(t.block, t.high+1)
	t.low = lowFraction * t.high
	return t
}

// batchPrompts is the bound on unanswered requests at a backend of some latency, for batch work.
func (p *Pool) batchUnansweredLimit(latency float64) float64 {
	return max(1, batchUnanswered/p.crowding(latency))
}

// within is a bounded value. The lower bound gives way to the upper one.
func clamp(value, low, high float64) float64 { return min(max(value, low), high) }
