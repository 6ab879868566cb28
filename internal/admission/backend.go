package admission

import (
	"time"

	"nickelline/decide"
	"nickelline/internal/discovery"
)

const (
	// defaultSlots is the number of slots of a backend for which neither its list entry nor its service gives a number.
	defaultSlots = 16
	// forcedBlockTime is how long a backend is blocking after it has refused a request.
	forcedBlockTime = 500 * time.Millisecond
	// latencyDecayTime is the time in which a backend's expected latency converges to the pool mean without new responses.
	latencyDecayTime = 2 * time.Second
	// latencyGain is the weight of a new sample in a backend's smoothed latency.
	latencyGain = 0.25
	// The score of a backend is multiplied by 1 + failurePenalty x its failure rate.
	failurePenalty = 6.0
	// The score of a cold backend is multiplied by coldPenalty.
	coldPenalty = 2.0
)

// backend is the state of one backend in a pool. The mutex of the pool guards it.
type backend struct {
	listed        discovery.Backend
	slots         float64
	sameZone      bool // in the zone of this node
	hash          uint64
	coldRemaining time.Duration // from the list; set to 0 on first use, when coldUntil is set
	coldUntil     time.Time

	modes        [classes]decide.Mode
	blockedUntil time.Time

	// Requests of this node.
	inFlight        int
	batchInFlight   int       // batch work among inFlight
	weight          float64   // total weight of inFlight, by size
	unanswered      int       // requests among inFlight without the first byte of a response
	pending         float64   // total weight of unanswered
	unansweredSince time.Time // no response has started since then, if any request is unanswered

	// The last report of the backend.
	othersInFlight float64 // requests of other nodes, running or waiting
	waiting        int     // waiting requests of all nodes
	othersWaiting  float64 // waiting requests of other nodes
	reportedAt     time.Time

	latency   float64 // smoothed time to first byte, s
	latencyAt time.Time

	otherNodes otherNodesLoad
	health     health
}

func newBackend(listed discovery.Backend, zone string) *backend {
	return &backend{listed: listed, sameZone: listed.Zone == zone, hash: hashOf(listed.ID)}
}

// update applies an entry of a new list of backends. serviceSlots is the service's number of slots for each backend; it
// applies if the entry has none.
func (b *backend) update(listed discovery.Backend, serviceSlots int) {
	b.listed = listed
	b.coldRemaining = listed.ColdRemaining
	b.slots = defaultSlots
	switch {
	case listed.Slots > 0:
		b.slots = float64(listed.Slots)
	case serviceSlots > 0:
		b.slots = float64(serviceSlots)
	}
}

// cold reports whether the backend is still slow after its start. The cold time from the list begins with the first use of
// the backend.
func (b *backend) cold(now time.Time) bool {
	if b.coldRemaining > 0 {
		b.coldUntil = now.Add(b.coldRemaining)
		b.coldRemaining = 0
	}
	return now.Before(b.coldUntil)
}

// nextMode updates the mode of the backend for a class of requests, and returns the mode in force: Blocking while a forced
// block lasts.
func (b *backend) nextMode(now time.Time, c class, limits thresholds, load float64) decide.Mode {
	b.modes[c] = decide.NextMode(b.modes[c], load, limits.low, limits.high, limits.block)
	if now.Before(b.blockedUntil) {
		return decide.Blocking
	}
	return b.modes[c]
}

// blockBriefly makes the backend blocking for forcedBlockTime, after it has refused a request as full.
func (b *backend) blockBriefly(now time.Time) { b.blockedUntil = now.Add(forcedBlockTime) }

// expectedLatency returns the expected time to first byte, in seconds. While requests are unanswered, it is at least the
// time since the last first byte.
func (b *backend) expectedLatency(now time.Time, p *Pool) float64 {
	latency := p.meanLatency
	if !b.latencyAt.IsZero() {
		fresh := freshness(now.Sub(b.latencyAt), latencyDecayTime)
		latency = fresh*b.latency + (1-fresh)*p.meanLatency
	}
	if b.unanswered > 0 {
		latency = max(latency, now.Sub(b.unansweredSince).Seconds())
	}
	return latency
}

// recordFirstByte records the time to first byte of a request with the given weight. The request is no longer unanswered.
func (b *backend) recordFirstByte(now time.Time, latency time.Duration, weight float64) {
	b.removeUnanswered(weight)
	b.unansweredSince = now
	if b.latencyAt.IsZero() {
		b.latency = latency.Seconds()
	}
	b.latency += latencyGain * (latency.Seconds() - b.latency)
	b.latencyAt = now
}

// score returns the value that the selection minimizes: (queue + 1) x latency, multiplied by penalties for failures and
// for a cold start. An ejected backend that is due for a trial has no failure penalty, since it was already penalized by
// the ejection.
func (b *backend) score(now time.Time, queue, latency float64) float64 {
	score := (queue + 1) * latency
	if !b.health.ejected {
		score *= 1 + failurePenalty*b.health.failureRate
	}
	if b.cold(now) {
		score *= coldPenalty
	}
	return score
}
