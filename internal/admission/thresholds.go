package admission

import "time"

const (
	// lowFraction is L as a fraction of H.
	lowFraction = 0.85
	// R of live requests is at most (1 + queueFraction) times the slots. Backends themselves queue three to four times their
	// slots.
	queueFraction = 1.5
	// blockFactor is the least R of live requests as a multiple of H.
	blockFactor = 1.25
	// H of live requests is at least minLiveHighFraction of the slots, and at least minLiveHighSlots, or all slots if there
	// are fewer: refusals at a lower load are expensive.
	minLiveHighSlots    = 16
	minLiveHighFraction = 0.5
	// liveHighSlowdown is the slowdown at which H of live requests lies, within its bounds.
	liveHighSlowdown = 6.0
	// liveBlockSlowdown is the slowdown at which R of live requests lies, within its bounds.
	liveBlockSlowdown = 20.0
	// batchMaxFraction is the greatest H of batch work as a fraction of the slots. It leaves room for live requests.
	batchMaxFraction = 0.5
	// batchMinFraction is the least H of batch work as a fraction of the slots.
	batchMinFraction = 0.1
	// batchHighSlowdown is the slowdown at which H of batch work lies, within its bounds.
	batchHighSlowdown = 2.5
	// batchBlockFactor is R of batch work as a multiple of H.
	batchBlockFactor = 2.0
	// With shared loads, batch work uses the slots that live requests leave free: H and R as fractions of the slots.
	batchSharedHighFraction  = 1.0
	batchSharedBlockFraction = 1.3
	// Without any reports of loads, H and R of batch work as fractions of the slots. They are low, since other nodes may send
	// the backend as much as this node does.
	batchUnreportedHighFraction  = 0.25
	batchUnreportedBlockFraction = 0.375
	// maxBatchUnanswered is the number of unanswered requests of all nodes from which a backend without load receives no
	// more batch work: batch work sends dozens of prompts at a time, which would delay those of live requests. The limit
	// is lower if the slowdown is higher.
	maxBatchUnanswered = 1.5
	// H and R of cold backends are multiplied by coldFraction.
	coldFraction = 0.5
	// minHigh is the least H in any case.
	minHigh = 1.0
)

// thresholds are the thresholds of one backend for one class of requests, as loads in requests. A backend becomes overloaded
// if one more request would exceed high, and blocking if one more would exceed block. It stops blocking below high + 1, and
// is normal again below low.
type thresholds struct {
	low   float64 // L
	high  float64 // H
	block float64 // R
}

// thresholdsOf returns the thresholds of a backend with a load and an expected latency. By Little's law, latency grows in
// proportion to the load, so the latency is k times the unloaded latency at a load of load x k / slowdown.
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
	slowdown := p.slowdown(latency)
	high := clamp(load*liveHighSlowdown/slowdown, b.minLiveHigh(), b.slots)
	block := clamp(load*liveBlockSlowdown/slowdown, blockFactor*high, (1+queueFraction)*b.slots)
	return thresholds{high: high, block: block}
}

// batchThresholds returns H and R of batch work.
func (p *Pool) batchThresholds(now time.Time, b *backend, load, latency float64) thresholds {
	if p.hasSharedLoads(now) {
		return thresholds{high: batchSharedHighFraction * b.slots, block: batchSharedBlockFraction * b.slots}
	}
	if !p.backendsReportLoad() {
		return thresholds{high: batchUnreportedHighFraction * b.slots, block: batchUnreportedBlockFraction * b.slots}
	}
	high := clamp(load*batchHighSlowdown/p.slowdown(latency), batchMinFraction*b.slots, batchMaxFraction*b.slots)
	return thresholds{high: high, block: batchBlockFactor * high}
}

// batchUnansweredLimit returns the number of unanswered requests from which a backend receives no more batch work.
func (p *Pool) batchUnansweredLimit(latency float64) float64 {
	return max(1, maxBatchUnanswered/p.slowdown(latency))
}

// clamp limits the value to [low, high]. If low exceeds high, it returns high.
func clamp(value, low, high float64) float64 { return min(max(value, low), high) }
