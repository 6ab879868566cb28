package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"nickelline/decide"
	"nickelline/internal/discovery"
)

const (
	startupMemory              = 2 * time.Second // without reports, what others are taken to have at a start is forgotten
	initialLatency             = 0.05            // s, before any answer
	meanGain                   = 0.1             // weight of a new latency in the pool's
	uncrowdedNoise             = 0.15            // by how much chance alone takes the mean under its true value
	uncrowdedGrowthSeconds     = 600.0
	minAnswers                 = 20
	typicalGain                = 0.1
	typicalMemory              = 1500 * time.Millisecond // without any report the others are forgotten
	meanTokensGain             = 0.02                    // weight of a request in the mean size
	minWeight                  = 0.25                    // requests' weights by their size, of the mean one's
	maxWeight                  = 4.0
	zoneDelay                  = 8.0 // multiple of the uncrowded latency up to which a request waits in its own zone,
	zoneFactor                 = 1.5 // and of another zone's score, up to which it does beyond that,
	zoneSlack                  = 1.0 // with so many requests added to both counts
	firstByteFractionGain      = 0.02
	streamingFirstByteFraction = 0.7 // of a request's time: the first part of an answer comes sooner where answers are streams
)

// Pool admits the requests of one service to its backends. It is safe for concurrent use.
type Pool struct {
	mutex          sync.Mutex
	zone           string
	node           uint64
	random         *rand.Rand
	byID           map[string]*backend
	backends       []*backend // in use: all of the service, or the node's subset of them
	recentSegments *segmentMemory
	shedding       shedding

	startedAt         time.Time // of the first request
	answers           int
	latency           float64 // smoothed over all backends, s
	uncrowded         float64 // the uncrowded latency, s
	uncrowdedAt       time.Time
	typical           float64 // requests of others for each slot of a backend
	typicalAt         time.Time
	meanTokens        float64 // mean tokens of a request
	firstByteFraction float64 // of a request's time, until the first part of its answer

	usedAt         time.Time // of the last request
	sharedAt       time.Time // when it was told what all nodes have
	byKey          map[uint32]*backend
	liveFraction   float64 // of the slots that live requests of all nodes take
	liveFractionAt time.Time

	counts     [classes]classCounts
	candidates [bands][]candidate
}

// candidate is a backend that may get the request at hand.
type candidate struct {
	backend *backend
	latency float64
	score   float64
}

// band groups candidates by mode and place.
type band int

const (
	normalNear band = iota
	normalFar
	overloadedNear
	overloadedFar
	bands
)

// NewPool makes the pool of a service for a node of a zone. The node's name and the seed make its random choices and
// its subset of the backends.
func NewPool(service, node, zone string, seed uint64) *Pool {
	own := hashOf(node)
	return &Pool{
		zone:           zone,
		node:           own,
		random:         rand.New(rand.NewPCG(seed^own, hashOf(service))),
		byID:           make(map[string]*backend),
		recentSegments: newSegmentMemory(),
		latency:        initialLatency,

		firstByteFraction: 1,
	}
}

// SetBackends replaces the backends. Slots is the service's figure for backends that do not tell theirs; 0: not known.
// What is known of a backend that stays is kept.
func (p *Pool) SetBackends(backends []discovery.Backend, slots int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	used := subset(backends, p.zone, p.node)
	known := make(map[string]*backend, len(used))
	servers := make([]*backend, 0, len(used))
	for _, b := range used {
		s := p.byID[b.ID]
		if s == nil {
			s = newBackend(b, p.zone)
		}
		s.update(b, slots)
		known[b.ID] = s
		servers = append(servers, s)
	}
	p.byID = known
	p.backends = servers
	p.byKey = make(map[uint32]*backend, len(servers))
	for _, b := range servers {
		p.byKey[b.key()] = b
	}
}

// Len is how many backends are in use.
func (p *Pool) Len() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.backends)
}

// Pick chooses a backend for a request, or refuses it.
func (p *Pool) Pick(now time.Time, r Request) (*Ticket, *Refusal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	p.usedAt = now
	c := classOf(&r)
	p.recordArrival(now, c)
	survey := p.scan(now, &r, c, false)
	if survey.usable == 0 {
		survey = p.scan(now, &r, c, true)
	}
	if survey.normal == 0 && p.mustShed(c, &survey) {
		p.counts[c].refusals[shedByFraction]++
		return nil, p.refuse(survey.backlog())
	}
	if survey.localAwaitsFirstByte && !r.Urgent && len(p.candidates[normalNear])+len(p.candidates[overloadedNear]) == 0 {
		p.counts[c].refusals[waitsForZone]++
		return nil, p.refuse(0) // batch work waits rather than pay for bytes between zones
	}
	chosen := p.selectBackend(now, &r, survey.normal > 0)
	if chosen == nil {
		p.counts[c].refusals[allBlocked]++
		return nil, p.refuse(survey.backlog())
	}
	p.counts[c].recordPick(survey.normal > 0, chosen.sameZone)
	return p.ticket(now, &r, chosen), nil
}

// survey is what one pass over the backends has found.
type scanResult struct {
	usable        int     // backends that may get the request, in any mode
	normal        int     // of those in normal mode
	overloadDepth float64 // of those, how far they are between H and R, summed
	excessLoad    float64 // counts over H, as multiples of H, summed
	// awaited is set where a backend of the own zone is blocked for batch work only until it has answered.
	localAwaitsFirstByte bool
	hasFreeSlots         bool // a backend has room by its slots, and nothing waiting
}

// backlog is the mean count over H, as a multiple of H.
func (s *scanResult) backlog() float64 { return s.excessLoad / float64(max(1, s.usable)) }

// survey sorts the backends into bands. Ejected ones come in only when there is nothing else.
func (p *Pool) scan(now time.Time, r *Request, c class, ejected bool) scanResult {
	found := scanResult{}
	for b := range p.candidates {
		p.candidates[b] = p.candidates[b][:0]
	}
	for _, b := range p.backends {
		if r.Exclude != nil && r.Exclude(b.listed.ID) {
			continue
		}
		p.ejectUnresponsive(now, b)
		if !ejected && !b.health.available(now) {
			continue
		}
		p.classify(now, b, c, &found)
	}
	if found.usable > 0 && found.normal == 0 {
		p.shedding.overloadDepth[c].add(found.overloadDepth / float64(found.usable))
	} else {
		p.shedding.overloadDepth[c].add(0)
	}
	return found
}

// consider finds the mode of a backend and puts it into its band.
func (p *Pool) classify(now time.Time, s *backend, c class, found *scanResult) {
	others := s.otherRequests(now, p)
	n := s.weight + others
	latency := s.expectedLatency(now, p)
	t := p.thresholdsOf(now, s, c, n, latency)
	if c == batch && p.hasSharedLoads(now) {
		n = s.batchLoad(p)
	}
	mode := s.nextMode(now, c, t, n)
	found.usable++
	found.excessLoad += max(0, n/t.high-1)
	if mode == decide.Blocking {
		found.overloadDepth++
		return
	}
	if c == batch && s.allUnanswered(now, p) >= p.batchUnansweredLimit(latency) {
		found.localAwaitsFirstByte = found.localAwaitsFirstByte || s.sameZone
		return
	}
	found.hasFreeSlots = found.hasFreeSlots || s.hasFreeSlots(now, others)
	b := normalFar
	if mode == decide.Normal {
		found.normal++
	} else {
		found.overloadDepth += clamp((n-t.high)/(t.block-t.high), 0, 1)
		b = overloadedFar
	}
	if s.sameZone {
		b--
	}
	score := s.score(now, s.queueAhead(now, n, others, p), latency)
	p.candidates[b] = append(p.candidates[b], candidate{backend: s, latency: latency, score: score})
}

// mustShed draws whether a request is dropped though backends that are merely overloaded could take it. Live requests
// are not while a backend has room, as a refusal then costs more than a wait.
func (p *Pool) mustShed(c class, found *scanResult) bool {
	if c == live && found.hasFreeSlots {
		return false
	}
	return p.random.Float64() < p.shedding.dropFractions[c]
}

// choose picks among normal backends, or else among overloaded ones. The node's zone is preferred.
func (p *Pool) selectBackend(now time.Time, r *Request, normal bool) *backend {
	near, far := p.candidates[overloadedNear], p.candidates[overloadedFar]
	if normal {
		near, far = p.candidates[normalNear], p.candidates[normalFar]
	}
	part := p.recentSegments.lastShared(r.Prefix)
	best, other := p.betterOfTwo(near, part), p.betterOfTwo(far, part)
	switch {
	case best == nil && other == nil:
		return nil
	case best == nil:
		return other.backend
	case other == nil || !p.prefersOtherZone(best, other):
		return best.backend
	}
	return other.backend
}

// betterOfTwo draws two backends and gives the one with the lower score. The backend that has read the prompt's shared
// part takes the place of one of them, and is preferred unless it is much busier.
func (p *Pool) betterOfTwo(candidates []candidate, part uint64) *candidate {
	switch len(candidates) {
	case 0:
		return nil
	case 1:
		return &candidates[0]
	}
	first := p.random.IntN(len(candidates))
	factor := 1.0
	if part != 0 {
		first = affineCandidate(candidates, part)
		factor = affinityFactor
	}
	second := p.random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	if candidates[first].score <= factor*candidates[second].score {
		return &candidates[first]
	}
	return &candidates[second]
}

// markedlyWorse tells whether a backend of the own zone is so much busier that one of another zone is worth the bytes.
func (p *Pool) prefersOtherZone(near, far *candidate) bool {
	if near.score < zoneDelay*p.uncrowded {
		return false
	}
	return near.score+zoneSlack*near.latency > zoneFactor*(far.score+zoneSlack*far.latency)
}

// finished takes the part of a request's time until the first part of its answer.
func (p *Pool) recordCompletion(first, whole time.Duration) {
	if whole > 0 {
		p.firstByteFraction += firstByteFractionGain * (first.Seconds()/whole.Seconds() - p.firstByteFraction)
	}
}

// streams tells whether the service's answers are streams.
func (p *Pool) isStreaming() bool { return p.firstByteFraction < streamingFirstByteFraction }

// typicalOthers is how many requests of others a backend is taken to hold that has told nothing lately.
func (p *Pool) typicalOthers(now time.Time, slots float64) float64 {
	if p.typicalAt.IsZero() {
		if p.answers >= minAnswers {
			return 0 // the service does not tell its load
		}
		return startupFraction * slots * freshness(now.Sub(p.startedAt), startupMemory)
	}
	return p.typical * slots * freshness(now.Sub(p.typicalAt), typicalMemory)
}

// reported takes a backend's account into the typical one.
func (p *Pool) recordOthers(now time.Time, b *backend) {
	others := b.othersInFlight / b.slots
	if p.typicalAt.IsZero() {
		p.typical = others
	}
	p.typical += typicalGain * (others - p.typical)
	if now.After(p.typicalAt) {
		p.typicalAt = now
	}
}

// answered takes a latency into the pool's mean and its least.
func (p *Pool) recordLatency(now time.Time, took time.Duration) {
	if p.answers == 0 {
		p.latency, p.uncrowdedAt = took.Seconds(), now
	}
	p.answers++
	p.latency += meanGain * (took.Seconds() - p.latency)
	if p.answers < minAnswers {
		return
	}
	p.uncrowded *= 1 + now.Sub(p.uncrowdedAt).Seconds()/uncrowdedGrowthSeconds
	p.uncrowdedAt = now
	if p.uncrowded == 0 || p.latency < p.uncrowded*(1-uncrowdedNoise) {
		p.uncrowded = p.latency / (1 - uncrowdedNoise)
	}
}

// crowding is how many times the uncrowded latency a latency is.
func (p *Pool) crowding(latency float64) float64 {
	if p.uncrowded == 0 {
		return 1
	}
	return max(1, latency/p.uncrowded)
}

// weigh gives a request's weight by its size; the mean one weighs 1.
func (p *Pool) weightOf(tokens int) float64 {
	if tokens <= 0 {
		return 1
	}
	size := float64(tokens)
	if p.meanTokens == 0 {
		p.meanTokens = size
	}
	p.meanTokens += meanTokensGain * (size - p.meanTokens)
	return clamp(size/p.meanTokens, minWeight, maxWeight)
}
