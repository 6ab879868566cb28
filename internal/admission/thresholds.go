package admission

import "time"

const (
	// lowFraction is L as a fraction of H.
	lowFraction = 0.85
	// queueFraction bounds R above the slots, as a fraction of them: backends queue three to four times their slots.
	queueFraction = 1.5
	// blockFactor is the least R as a multiple of H.
	blockFactor = 1.25
	// H of live requests falls no lower than steadySlots or steadyFraction of the slots: refusals below it are expensive.
	steadySlots    = 16
	steadyFraction = 0.5
	// liveHighCrowding is the multiple of the uncrowded latency at which H of live requests lies, if below the slots.
	liveHighCrowding = 6.0
	// liveBlockCrowding is the same for R.
	liveBlockCrowding = 20.0
	// batchMaxFraction of the slots bounds H of batch work, which leaves room for live requests.
	batchMaxFraction = 0.5
	// batchMinFraction of the slots is the least H of batch work.
	batchMinFraction = 0.1
	// batchCrowding is the multiple of the uncrowded latency at which H of batch work lies, within its bounds.
	batchCrowding = 2.5
	// batchBlockFactor is R of batch work as a multiple of H.
	batchBlockFactor = 2.0
	// With shared loads, batch work takes the room that live requests leave: H and R as fractions of the slots.
	batchSharedHighFraction  = 1.0
	batchSharedBlockFraction = 1.3
	// Without any reports, other nodes may have as much there: H and R of batch work as fractions of the slots.
	batchBlindHighFraction  = 0.25
	batchBlindBlockFraction = 0.375
	// batchUnanswered is the number of unanswered requests of all nodes from which an uncrowded backend is blocked for
	// batch work: its prompts come by the dozen and would delay live ones. It falls with the crowding.
	batchUnanswered = 1.5
	// coldFraction is the factor on the thresholds of cold backends.
	coldFraction = 0.5
	minHigh      = 1.0
)

// thresholds of one backend for one class of requests: a mode rises above high or block, and falls below low or high.
type thresholds struct {
	low   float64 // L
	high  float64 // H
	block float64 // R
}

// thresholdsOf returns the thresholds of a backend with a load and an expected latency. By Little's law latency grows with
// the load, so the load at which it would be k times the uncrowded one is load x k / crowding.
func (p *Pool) thresholdsOf(now time.Time, b *backend, c class, load, latency float64) thresholds {
	var limits thresholds
	if c == batch {
		limits = p.batchThresholds(now, b, load, latency)
	} else {
		limits = p.liveThresholds(b, load, latency)
	}
	if b.cold(now) {
		limits.high *= coldFraction
		limits.block *= coldFraction
	}
	limits.high = max(limits.high, minHigh)
	limits.block = max(limits.block, limits.high+1)
	limits.low = lowFraction * limits.high
	return limits
}

// liveThresholds returns H and R of live requests.
func (p *Pool) liveThresholds(b *backend, load, latency float64) thresholds {
	crowding := p.crowding(latency)
	high := clamp(load*liveHighCrowding/crowding, b.steadySlots(), b.slots)
	block := clamp(load*liveBlockCrowding/crowding, blockFactor*high, (1+queueFraction)*b.slots)
	return thresholds{high: high, block: block}
}

// batchThresholds returns H and R of batch work.
func (p *Pool) batchThresholds(now time.Time, b *backend, load, latency float64) thresholds {
	if p.hasSharedLoads(now) {
		return thresholds{high: batchSharedHighFraction * b.slots, block: batchSharedBlockFraction * b.slots}
	}
	if !p.backendsReportLoad() {
		return thresholds{high: batchBlindHighFraction * b.slots, block: batchBlindBlockFraction * b.slots}
	}
	high := clamp(load*batchCrowding/p.crowding(latency), batchMinFraction*b.slots, batchMaxFraction*b.slots)
	return thresholds{high: high, block: batchBlockFactor * high}
}

// batchUnansweredLimit returns the number of unanswered requests from which batch work is blocked at a backend.
func (p *Pool) batchUnansweredLimit(latency float64) float64 {
	return max(1, batchUnanswered/p.crowding(latency))
}

// clamp returns the value within its bounds. The lower bound gives way to the upper one.
func clamp(value, low, high float64) float64 { return min(max(value, low), high) }
