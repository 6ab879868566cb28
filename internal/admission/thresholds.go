package admission

import "time"

const (
	lowPart       = 0.85 // L as a part of H
	queuePart     = 1.5  // R above the slots, as a part of them: backends queue three to four times their slots
	blockPart     = 1.25 // R as a multiple of H, at least
	steadySlots   = 16   // H of live requests comes down to no less than this, or
	steadyPart    = 0.5  // to this part of the slots: requests that are refused below it are dear
	highCrowding  = 6.0  // multiple of the uncrowded latency at which H lies, where that is below the slots
	fullCrowding  = 20.0 // the same for R
	batchPart     = 0.5  // of the slots: H of batch work, which leaves room for live requests,
	batchLeast    = 0.1  // and comes down to this part where
	batchCrowding = 2.5  // answers take longer than this multiple of the uncrowded latency
	batchBlock    = 2.0  // R of batch work as a multiple of H
	// Where it is known what all nodes have at a backend, batch work takes the room that live requests leave:
	batchSharedPart  = 1.0 // H as a part of the slots,
	batchSharedBlock = 1.3 // and R
	// Where nobody tells, other nodes may have as much there:
	batchBlindPart  = 0.25  // H as a part of the slots,
	batchBlindBlock = 0.375 // and R
	// batchPrompts is how many requests of all nodes an uncrowded backend may have without a first part of an answer for batch
	// work to be blocked there: its prompts come by the dozen and would hold up live ones. It falls with the crowding.
	batchPrompts = 1.5
	coldPart     = 0.5 // of the thresholds, for cold backends
	leastHigh    = 1.0
)

// thresholds are L, H and R of one backend for one class of requests.
type thresholds struct{ low, high, block float64 }

// thresholdsOf gives the thresholds of a backend with count n and a latency. By Little's law latency grows with the
// count, so the count at which it would be k times the uncrowded one is n x k / crowding.
func (p *Pool) thresholdsOf(now time.Time, s *server, c class, n, latency float64) thresholds {
	crowding := p.crowding(latency)
	var t thresholds
	switch {
	case c == batch && p.isShared(now):
		t.high = batchSharedPart * s.slots
		t.block = batchSharedBlock * s.slots
	case c == batch && !p.tellsLoad():
		t.high = batchBlindPart * s.slots
		t.block = batchBlindBlock * s.slots
	case c == batch:
		t.high = within(n*batchCrowding/crowding, batchLeast*s.slots, batchPart*s.slots)
		t.block = batchBlock * t.high
	default:
		t.high = within(n*highCrowding/crowding, s.steadySlots(), s.slots)
		t.block = within(n*fullCrowding/crowding, blockPart*t.high, (1+queuePart)*s.slots)
	}
	if s.cold(now) {
		t.high *= coldPart
		t.block *= coldPart
	}
	t.high = max(t.high, leastHigh)
	t.block = max(t.block, t.high+1)
	t.low = lowPart * t.high
	return t
}

// batchPrompts is the bound on unanswered requests at a backend of some latency, for batch work.
func (p *Pool) batchPrompts(latency float64) float64 { return max(1, batchPrompts/p.crowding(latency)) }

// within is a bounded value. The lower bound gives way to the upper one.
func within(value, low, high float64) float64 { return min(max(value, low), high) }
