package admission

import (
	"time"

	"nickelline/decide"
	"nickelline/internal/discovery"
)

const (
	defaultSlots    = 16                     // of a backend whose slots nobody tells
	forcedBlockTime = 500 * time.Millisecond // oc-validity: a mode that a refusal imposed lapses after it
	reportMemory    = time.Second            // a report drifts to the pool's typical load within this time
	latencyMemory   = 2 * time.Second        // a latency drifts to the pool's mean within this time
	latencyGain     = 0.25                   // weight of a new latency in a backend's smoothed one
	waitingWeight   = 2.0                    // of a request that waits at a backend of streams, for the pick
	runningWeight   = 0.05                   // of one that runs there
	failureRateGain = 0.15                   // weight of an attempt in a backend's part of failures
	failurePenalty  = 6.0                    // on the score of a backend for its part of failures
	coldPenalty     = 2.0                    // on the score of a cold backend
	startupFraction = 0.25                   // of its slots: what others are taken to have at a backend in a new pool
)

// server is what the pool keeps of one backend.
type backend struct {
	listed        discovery.Backend
	slots         float64
	sameZone      bool // of the node's zone
	hash          uint64
	coldRemaining time.Duration // by the list, not yet counted down
	coldUntil     time.Time

	inFlight      int     // of this node
	batchInFlight int     // of those, batch work
	weight        float64 // of those, by their sizes

	modes        [classes]decide.Mode
	blockedUntil time.Time

	othersInFlight float64 // requests of other nodes by the last report
	waiting        int     // of all nodes, by the last report
	othersWaiting  float64 // of those
	reportedAt     time.Time

	latency   float64 // smoothed, s, to the first part of an answer
	latencyAt time.Time

	pending         float64   // weight of this node's requests without a first part of an answer
	unanswered      int       // attempts without a first part of an answer
	unansweredSince time.Time // since when none of them was answered

	otherNodes otherNodesLoad
	health     health
}

func newBackend(b discovery.Backend, zone string) *backend {
	return &backend{listed: b, sameZone: b.Zone == zone, hash: hashOf(b.ID)}
}

// update takes over what a new list says of the backend.
func (s *backend) update(b discovery.Backend, slots int) {
	s.listed = b
	s.coldRemaining = b.Cold
	s.slots = defaultSlots
	switch {
	case b.Slots > 0:
		s.slots = float64(b.Slots)
	case slots > 0:
		s.slots = float64(slots)
	}
}

// cold tells whether the backend is still slow from its start. The time that the list gave runs from its first use.
func (b *backend) cold(now time.Time) bool {
	if b.coldRemaining > 0 {
		b.coldUntil = now.Add(b.coldRemaining)
		b.coldRemaining = 0
	}
	return now.Before(b.coldUntil)
}

// steadySlots is how many requests the backend holds without harm in any case.
func (b *backend) steadySlots() float64 {
	return max(steadyFraction*b.slots, min(b.slots, steadySlots))
}

// roomy tells whether the backend has room by its slots, and nothing waiting.
func (b *backend) hasFreeSlots(now time.Time, others float64) bool {
	if b.waiting > 0 && now.Sub(b.reportedAt) < reportMemory {
		return false
	}
	return float64(b.inFlight)+others < b.steadySlots()
}

// reported takes a backend's account of its load at a moment, when this node had some requests there.
func (b *backend) recordLoad(at time.Time, own int, l *Load) {
	if l.Slots > 0 {
		b.slots = float64(l.Slots)
	}
	b.othersInFlight = float64(max(0, l.Running+l.Waiting-own))
	b.waiting = l.Waiting
	b.othersWaiting = float64(max(0, l.Waiting-b.unanswered))
	b.reportedAt = at
}

// othersNow is how many requests other nodes are taken to have at the backend.
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

// latencyNow is the expected time to the first part of an answer, s. A backend that is silent is as slow as its
// silence is long, at least.
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

// answered takes the time that a first part of an answer took.
func (b *backend) recordFirstByte(now time.Time, took time.Duration, weight float64) {
	b.removeUnanswered(weight)
	b.unansweredSince = now
	if b.latencyAt.IsZero() {
		b.latency = took.Seconds()
	}
	b.latency += latencyGain * (took.Seconds() - b.latency)
	b.latencyAt = now
}

// settled counts a request that no longer waits for the first part of its answer.
func (b *backend) removeUnanswered(weight float64) {
	b.unanswered--
	b.pending -= weight
	if b.unanswered == 0 {
		b.pending = 0
	}
}

// prompts is how many requests of all nodes are taken to have no first part of an answer.
func (b *backend) allUnanswered(now time.Time, p *Pool) float64 {
	if p.hasSharedLoads(now) {
		return float64(b.unanswered) + b.otherNodes.unanswered
	}
	return float64(b.unanswered) + b.othersWaiting*freshness(now.Sub(b.reportedAt), reportMemory)
}

// ahead is how many requests stand before a new one. Where answers are streams, most of the work of a request comes
// before its first part, and running streams count little; waiting requests have all of theirs before them.
func (b *backend) queueAhead(now time.Time, n, others float64, p *Pool) float64 {
	if !p.isStreaming() {
		return n
	}
	if p.hasSharedLoads(now) {
		return b.pending + b.otherNodes.pending + waitingWeight*max(0, n+1-b.slots) + runningWeight*n
	}
	waiting := min(others, float64(b.waiting)*freshness(now.Sub(b.reportedAt), reportMemory))
	running := max(0, n-b.pending-waiting)
	return b.pending + waitingWeight*waiting + runningWeight*running
}

// sent counts a request that goes to the backend.
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

// gone counts a request that has left the backend.
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

// mode updates and gives the mode of the backend for a class of requests.
func (b *backend) nextMode(now time.Time, c class, t thresholds, n float64) decide.Mode {
	b.modes[c] = decide.NextMode(b.modes[c], n, t.low, t.high, t.block)
	if now.Before(b.blockedUntil) {
		return decide.Blocking
	}
	return b.modes[c]
}

// impose blocks the backend for a while, as it has told that it is full.
func (b *backend) blockBriefly(now time.Time) { b.blockedUntil = now.Add(forcedBlockTime) }

// score is what the pick compares: (in-flight + 1) x smoothed latency, more for poor backends. One that is due for a
// trial has paid already.
func (b *backend) score(now time.Time, ahead, latency float64) float64 {
	score := (ahead + 1) * latency
	if !b.health.ejected {
		score *= 1 + failurePenalty*b.health.failureRate
	}
	if b.cold(now) {
		score *= coldPenalty
	}
	return score
}

// remaining is how much of a piece of news still counts at its age: it falls evenly to 0.
func freshness(age, memory time.Duration) float64 {
	return max(0, 1-max(0, age.Seconds())/memory.Seconds())
}

// hashOf is FNV-1a, without the allocations of hash/fnv, its bits spread.
func hashOf(text string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for i := range len(text) {
		hash ^= uint64(text[i])
		hash *= prime
	}
	return mix64(hash)
}

// mix spreads the bits of a number (splitmix64).
func mix64(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
