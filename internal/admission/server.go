package admission

import (
	"time"

	"nickelline/decide"
	"nickelline/internal/discovery"
)

const (
	defaultSlots   = 16                     // of a backend whose slots nobody tells
	modeValidity   = 500 * time.Millisecond // oc-validity: a mode that a refusal imposed lapses after it
	reportMemory   = time.Second            // a report drifts to the pool's typical load within this time
	latencyMemory  = 2 * time.Second        // a latency drifts to the pool's mean within this time
	latencyGain    = 0.25                   // weight of a new latency in a backend's smoothed one
	waitingWeight  = 2.0                    // of a request that waits at a backend of streams, for the pick
	runningWeight  = 0.05                   // of one that runs there
	failureGain    = 0.15                   // weight of an attempt in a backend's part of failures
	failurePenalty = 6.0                    // on the score of a backend for its part of failures
	coldPenalty    = 2.0                    // on the score of a cold backend
	startPart      = 0.25                   // of its slots: what others are taken to have at a backend in a new pool
)

// server is what the pool keeps of one backend.
type server struct {
	backend discovery.Backend
	slots   float64
	near    bool // of the node's zone
	hash    uint64
	coldFor time.Duration // by the list, not yet counted down
	coldEnd time.Time

	inFlight int     // of this node
	batch    int     // of those, batch work
	weight   float64 // of those, by their sizes

	modes        [classes]decide.Mode
	imposedUntil time.Time

	others          float64 // requests of other nodes by the last report
	waiting         int     // of all nodes, by the last report
	waitingOfOthers float64 // of those
	reportAt        time.Time

	latency   float64 // smoothed, s, to the first part of an answer
	latencyAt time.Time

	pending    float64   // weight of this node's requests without a first part of an answer
	unanswered int       // attempts without a first part of an answer
	silentFrom time.Time // since when none of them was answered

	shared   sharedLoad
	failures health
}

func newServer(b discovery.Backend, zone string) *server {
	return &server{backend: b, near: b.Zone == zone, hash: hashOf(b.ID)}
}

// update takes over what a new list says of the backend.
func (s *server) update(b discovery.Backend, slots int) {
	s.backend = b
	s.coldFor = b.Cold
	s.slots = defaultSlots
	switch {
	case b.Slots > 0:
		s.slots = float64(b.Slots)
	case slots > 0:
		s.slots = float64(slots)
	}
}

// cold tells whether the backend is still slow from its start. The time that the list gave runs from its first use.
func (s *server) cold(now time.Time) bool {
	if s.coldFor > 0 {
		s.coldEnd = now.Add(s.coldFor)
		s.coldFor = 0
	}
	return now.Before(s.coldEnd)
}

// steadySlots is how many requests the backend holds without harm in any case.
func (s *server) steadySlots() float64 { return max(steadyPart*s.slots, min(s.slots, steadySlots)) }

// roomy tells whether the backend has room by its slots, and nothing waiting.
func (s *server) roomy(now time.Time, others float64) bool {
	if s.waiting > 0 && now.Sub(s.reportAt) < reportMemory {
		return false
	}
	return float64(s.inFlight)+others < s.steadySlots()
}

// reported takes a backend's account of its load at a moment, when this node had some requests there.
func (s *server) reported(at time.Time, own int, l *Load) {
	if l.Slots > 0 {
		s.slots = float64(l.Slots)
	}
	s.others = float64(max(0, l.Running+l.Waiting-own))
	s.waiting = l.Waiting
	s.waitingOfOthers = float64(max(0, l.Waiting-s.unanswered))
	s.reportAt = at
}

// othersNow is how many requests other nodes are taken to have at the backend.
func (s *server) othersNow(now time.Time, p *Pool) float64 {
	if p.isShared(now) {
		return s.shared.inFlight
	}
	if s.reportAt.IsZero() {
		return p.typicalOthers(now, s.slots)
	}
	fresh := remaining(now.Sub(s.reportAt), reportMemory)
	if fresh == 1 {
		return s.others
	}
	return fresh*s.others + (1-fresh)*p.typicalOthers(now, s.slots)
}

// latencyNow is the expected time to the first part of an answer, s. A backend that is silent is as slow as its
// silence is long, at least.
func (s *server) latencyNow(now time.Time, p *Pool) float64 {
	latency := p.latency
	if !s.latencyAt.IsZero() {
		fresh := remaining(now.Sub(s.latencyAt), latencyMemory)
		latency = fresh*s.latency + (1-fresh)*p.latency
	}
	if s.unanswered > 0 {
		latency = max(latency, now.Sub(s.silentFrom).Seconds())
	}
	return latency
}

// answered takes the time that a first part of an answer took.
func (s *server) answered(now time.Time, took time.Duration, weight float64) {
	s.settled(weight)
	s.silentFrom = now
	if s.latencyAt.IsZero() {
		s.latency = took.Seconds()
	}
	s.latency += latencyGain * (took.Seconds() - s.latency)
	s.latencyAt = now
}

// settled counts a request that no longer waits for the first part of its answer.
func (s *server) settled(weight float64) {
	s.unanswered--
	s.pending -= weight
	if s.unanswered == 0 {
		s.pending = 0
	}
}

// prompts is how many requests of all nodes are taken to have no first part of an answer.
func (s *server) prompts(now time.Time, p *Pool) float64 {
	if p.isShared(now) {
		return float64(s.unanswered) + s.shared.unanswered
	}
	return float64(s.unanswered) + s.waitingOfOthers*remaining(now.Sub(s.reportAt), reportMemory)
}

// ahead is how many requests stand before a new one. Where answers are streams, most of the work of a request comes
// before its first part, and running streams count little; waiting requests have all of theirs before them.
func (s *server) ahead(now time.Time, n, others float64, p *Pool) float64 {
	if !p.streams() {
		return n
	}
	if p.isShared(now) {
		return s.pending + s.shared.pending + waitingWeight*max(0, n+1-s.slots) + runningWeight*n
	}
	waiting := min(others, float64(s.waiting)*remaining(now.Sub(s.reportAt), reportMemory))
	running := max(0, n-s.pending-waiting)
	return s.pending + waitingWeight*waiting + runningWeight*running
}

// sent counts a request that goes to the backend.
func (s *server) sent(now time.Time, c class, weight float64) {
	if c == batch {
		s.batch++
	}
	if s.unanswered == 0 {
		s.silentFrom = now
	}
	s.unanswered++
	s.pending += weight
	s.inFlight++
	s.weight += weight
}

// gone counts a request that has left the backend.
func (s *server) gone(c class, weight float64) {
	if c == batch {
		s.batch--
	}
	s.inFlight--
	s.weight -= weight
	if s.inFlight == 0 {
		s.weight = 0
	}
}

// mode updates and gives the mode of the backend for a class of requests.
func (s *server) mode(now time.Time, c class, t thresholds, n float64) decide.Mode {
	s.modes[c] = decide.NextMode(s.modes[c], n, t.low, t.high, t.block)
	if now.Before(s.imposedUntil) {
		return decide.Blocking
	}
	return s.modes[c]
}

// impose blocks the backend for a while, as it has told that it is full.
func (s *server) impose(now time.Time) { s.imposedUntil = now.Add(modeValidity) }

// score is what the pick compares: (in-flight + 1) x smoothed latency, more for poor backends. One that is due for a
// trial has paid already.
func (s *server) score(now time.Time, ahead, latency float64) float64 {
	score := (ahead + 1) * latency
	if !s.failures.ejected {
		score *= 1 + failurePenalty*s.failures.part
	}
	if s.cold(now) {
		score *= coldPenalty
	}
	return score
}

// remaining is how much of a piece of news still counts at its age: it falls evenly to 0.
func remaining(age, memory time.Duration) float64 {
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
	return mix(hash)
}

// mix spreads the bits of a number (splitmix64).
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
