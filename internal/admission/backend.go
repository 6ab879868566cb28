package admission

import (
	"time"

	"nickelline/decide"
	"nickelline/internal/discovery"
)

const (
	// defaultSlots is the number of slots of a backend that is not known to have another.
	defaultSlots = 16
	// forcedBlockTime is how long a backend blocks after it has refused a request.
	forcedBlockTime = 500 * time.Millisecond
	// latencyMemory is the time within which a backend's latency drifts to the mean of the pool.
	latencyMemory = 2 * time.Second
	// latencyGain is the weight of a new latency in a backend's smoothed one.
	latencyGain = 0.25
	// failurePenalty, times the failure rate, is added to 1 for the factor on the score of a backend that fails.
	failurePenalty = 6.0
	// coldPenalty is the factor on the score of a cold backend.
	coldPenalty = 2.0
)

// backend is what the pool knows of one backend. The mutex of the pool guards it.
type backend struct {
	listed        discovery.Backend
	slots         float64
	sameZone      bool // as the node
	hash          uint64
	coldRemaining time.Duration // by the list, before its first use
	coldUntil     time.Time

	modes        [classes]decide.Mode
	blockedUntil time.Time

	// Requests of this node.
	inFlight        int
	batchInFlight   int       // of those, batch work
	weight          float64   // of those in flight, by their sizes
	unanswered      int       // of those, without the first byte of an answer
	pending         float64   // weight of the unanswered ones
	unansweredSince time.Time // since when none of them was answered

	// The last report of the backend.
	othersInFlight float64 // requests of other nodes
	waiting        int     // requests of all nodes
	othersWaiting  float64 // of those, of other nodes
	reportedAt     time.Time

	latency   float64 // smoothed, to the first byte of an answer, s
	latencyAt time.Time

	otherNodes otherNodesLoad
	health     health
}

func newBackend(listed discovery.Backend, zone string) *backend {
	return &backend{listed: listed, sameZone: listed.Zone == zone, hash: hashOf(listed.ID)}
}

// update takes what a new list says of the backend, and the service's figure for slots.
func (b *backend) update(listed discovery.Backend, slots int) {
	b.listed = listed
	b.coldRemaining = listed.Cold
	b.slots = defaultSlots
	switch {
	case listed.Slots > 0:
		b.slots = float64(listed.Slots)
	case slots > 0:
		b.slots = float64(slots)
	}
}

// cold reports whether the backend is still slow from its start. The time that the list gave runs from its first use.
func (b *backend) cold(now time.Time) bool {
	if b.coldRemaining > 0 {
		b.coldUntil = now.Add(b.coldRemaining)
		b.coldRemaining = 0
	}
	return now.Before(b.coldUntil)
}

// nextMode updates and returns the mode of the backend for a class of requests.
func (b *backend) nextMode(now time.Time, c class, limits thresholds, load float64) decide.Mode {
	b.modes[c] = decide.NextMode(b.modes[c], load, limits.low, limits.high, limits.block)
	if now.Before(b.blockedUntil) {
		return decide.Blocking
	}
	return b.modes[c]
}

// blockBriefly blocks the backend for a while, after it has reported that it is full.
func (b *backend) blockBriefly(now time.Time) { b.blockedUntil = now.Add(forcedBlockTime) }

// expectedLatency returns the expected time to the first byte of an answer, in seconds. While requests are unanswered it
// is at least the time since the last answer.
func (b *backend) expectedLatency(now time.Time, p *Pool) float64 {
	latency := p.latency
	if !b.latencyAt.IsZero() {
		fresh := freshness(now.Sub(b.latencyAt), latencyMemory)
		latency = fresh*b.latency + (1-fresh)*p.latency
	}
	if b.unanswered > 0 {
		latency = max(latency, now.Sub(b.unansweredSince).Seconds())
	}
	return latency
}

// recordFirstByte takes the time to the first byte of an answer.
func (b *backend) recordFirstByte(now time.Time, latency time.Duration, weight float64) {
	b.removeUnanswered(weight)
	b.unansweredSince = now
	if b.latencyAt.IsZero() {
		b.latency = latency.Seconds()
	}
	b.latency += latencyGain * (latency.Seconds() - b.latency)
	b.latencyAt = now
}

// score returns what the selection compares: (queue + 1) x latency, more for backends that fail or are cold. Ejection
// has already cost a backend that is due for a trial.
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
