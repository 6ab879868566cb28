package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"nickelline/decide"
	"nickelline/internal/discovery"
)

const (
	startMemory   = 2 * time.Second // without reports, what others are taken to have at a start is forgotten
	startLatency  = 0.05            // s, before any answer
	meanGain      = 0.1             // weight of a new latency in the pool's
	leastNoise    = 0.15            // by how much chance alone takes the mean under its true value
	leastGrowth   = 600.0
	enoughAnswers = 20
	typicalGain   = 0.1
	typicalMemory = 1500 * time.Millisecond // without any report the others are forgotten
	sizeGain      = 0.02                    // weight of a request in the mean size
	lightest      = 0.25                    // requests' weights by their size, of the mean one's
	heaviest      = 4.0
	zoneDelay     = 8.0 // multiple of the uncrowded latency up to which a request waits in its own zone,
	zoneFactor    = 1.5 // and of another zone's score, up to which it does beyond that,
	zoneSlack     = 1.0 // with so many requests added to both counts
	streamGain    = 0.02
	streamPart    = 0.7 // of a request's time: the first part of an answer comes sooner where answers are streams
)

// Pool admits the requests of one service to its backends. It is safe for concurrent use.
type Pool struct {
	mutex   sync.Mutex
	zone    string
	node    uint64
	random  *rand.Rand
	known   map[string]*server
	servers []*server // in use: all of the service, or the node's subset of them
	parts   *partMemory
	shed    shedding

	startAt   time.Time // of the first request
	answers   int
	latency   float64 // smoothed over all backends, s
	least     float64 // the uncrowded latency, s
	leastAt   time.Time
	typical   float64 // requests of others for each slot of a backend
	typicalAt time.Time
	size      float64 // mean tokens of a request
	firstPart float64 // of a request's time, until the first part of its answer

	usedAt     time.Time // of the last request
	sharedAt   time.Time // when it was told what all nodes have
	byKey      map[uint32]*server
	livePart   float64 // of the slots that live requests of all nodes take
	livePartAt time.Time

	counts [classes]classCounts
	buffer [bands][]candidate
}

// candidate is a backend that may get the request at hand.
type candidate struct {
	server  *server
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
		zone:    zone,
		node:    own,
		random:  rand.New(rand.NewPCG(seed^own, hashOf(service))),
		known:   make(map[string]*server),
		parts:   newPartMemory(),
		latency: startLatency,

		firstPart: 1,
	}
}

// SetBackends replaces the backends. Slots is the service's figure for backends that do not tell theirs; 0: not known.
// What is known of a backend that stays is kept.
func (p *Pool) SetBackends(backends []discovery.Backend, slots int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	used := subsetOf(backends, p.zone, p.node)
	known := make(map[string]*server, len(used))
	servers := make([]*server, 0, len(used))
	for _, b := range used {
		s := p.known[b.ID]
		if s == nil {
			s = newServer(b, p.zone)
		}
		s.update(b, slots)
		known[b.ID] = s
		servers = append(servers, s)
	}
	p.known = known
	p.servers = servers
	p.byKey = make(map[uint32]*server, len(servers))
	for _, s := range servers {
		p.byKey[s.key()] = s
	}
}

// Len is how many backends are in use.
func (p *Pool) Len() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.servers)
}

// Pick chooses a backend for a request, or refuses it.
func (p *Pool) Pick(now time.Time, r Request) (*Ticket, *Refusal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.startAt.IsZero() {
		p.startAt = now
	}
	p.usedAt = now
	c := classOf(&r)
	p.arrived(now, c)
	survey := p.survey(now, &r, c, false)
	if survey.usable == 0 {
		survey = p.survey(now, &r, c, true)
	}
	if survey.normal == 0 && p.mustShed(c, &survey) {
		p.counts[c].refusals[shedByFraction]++
		return nil, p.refusal(survey.backlog())
	}
	if survey.awaited && !r.Urgent && len(p.buffer[normalNear])+len(p.buffer[overloadedNear]) == 0 {
		p.counts[c].refusals[waitForZone]++
		return nil, p.refusal(0) // batch work waits rather than pay for bytes between zones
	}
	chosen := p.choose(now, &r, survey.normal > 0)
	if chosen == nil {
		p.counts[c].refusals[allBlocked]++
		return nil, p.refusal(survey.backlog())
	}
	p.counts[c].pickedFrom(survey.normal > 0, chosen.near)
	return p.ticket(now, &r, chosen), nil
}

// survey is what one pass over the backends has found.
type survey struct {
	usable int     // backends that may get the request, in any mode
	normal int     // of those in normal mode
	depth  float64 // of those, how far they are between H and R, summed
	excess float64 // counts over H, as multiples of H, summed
	// awaited is set where a backend of the own zone is blocked for batch work only until it has answered.
	awaited bool
	roomy   bool // a backend has room by its slots, and nothing waiting
}

// backlog is the mean count over H, as a multiple of H.
func (s *survey) backlog() float64 { return s.excess / float64(max(1, s.usable)) }

// survey sorts the backends into bands. Ejected ones come in only when there is nothing else.
func (p *Pool) survey(now time.Time, r *Request, c class, ejected bool) survey {
	found := survey{}
	for b := range p.buffer {
		p.buffer[b] = p.buffer[b][:0]
	}
	for _, s := range p.servers {
		if r.Exclude != nil && r.Exclude(s.backend.ID) {
			continue
		}
		p.judgeSilence(now, s)
		if !ejected && !s.failures.open(now) {
			continue
		}
		p.consider(now, s, c, &found)
	}
	if found.usable > 0 && found.normal == 0 {
		p.shed.depth[c].add(found.depth / float64(found.usable))
	} else {
		p.shed.depth[c].add(0)
	}
	return found
}

// consider finds the mode of a backend and puts it into its band.
func (p *Pool) consider(now time.Time, s *server, c class, found *survey) {
	others := s.othersNow(now, p)
	n := s.weight + others
	latency := s.latencyNow(now, p)
	t := p.thresholdsOf(now, s, c, n, latency)
	if c == batch && p.isShared(now) {
		n = s.batchCount(p)
	}
	mode := s.mode(now, c, t, n)
	found.usable++
	found.excess += max(0, n/t.high-1)
	if mode == decide.Blocking {
		found.depth++
		return
	}
	if c == batch && s.prompts(now, p) >= p.batchPrompts(latency) {
		found.awaited = found.awaited || s.near
		return
	}
	found.roomy = found.roomy || s.roomy(now, others)
	b := normalFar
	if mode == decide.Normal {
		found.normal++
	} else {
		found.depth += within((n-t.high)/(t.block-t.high), 0, 1)
		b = overloadedFar
	}
	if s.near {
		b--
	}
	score := s.score(now, s.ahead(now, n, others, p), latency)
	p.buffer[b] = append(p.buffer[b], candidate{server: s, latency: latency, score: score})
}

// mustShed draws whether a request is dropped though backends that are merely overloaded could take it. Live requests
// are not while a backend has room, as a refusal then costs more than a wait.
func (p *Pool) mustShed(c class, found *survey) bool {
	if c == live && found.roomy {
		return false
	}
	return p.random.Float64() < p.shed.parts[c]
}

// choose picks among normal backends, or else among overloaded ones. The node's zone is preferred.
func (p *Pool) choose(now time.Time, r *Request, normal bool) *server {
	near, far := p.buffer[overloadedNear], p.buffer[overloadedFar]
	if normal {
		near, far = p.buffer[normalNear], p.buffer[normalFar]
	}
	part := p.parts.sharedPart(r.Prefix)
	best, other := p.betterOfTwo(near, part), p.betterOfTwo(far, part)
	switch {
	case best == nil && other == nil:
		return nil
	case best == nil:
		return other.server
	case other == nil || !p.markedlyWorse(best, other):
		return best.server
	}
	return other.server
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
		first = affine(candidates, part)
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
func (p *Pool) markedlyWorse(near, far *candidate) bool {
	if near.score < zoneDelay*p.least {
		return false
	}
	return near.score+zoneSlack*near.latency > zoneFactor*(far.score+zoneSlack*far.latency)
}

// finished takes the part of a request's time until the first part of its answer.
func (p *Pool) finished(first, whole time.Duration) {
	if whole > 0 {
		p.firstPart += streamGain * (first.Seconds()/whole.Seconds() - p.firstPart)
	}
}

// streams tells whether the service's answers are streams.
func (p *Pool) streams() bool { return p.firstPart < streamPart }

// typicalOthers is how many requests of others a backend is taken to hold that has told nothing lately.
func (p *Pool) typicalOthers(now time.Time, slots float64) float64 {
	if p.typicalAt.IsZero() {
		if p.answers >= enoughAnswers {
			return 0 // the service does not tell its load
		}
		return startPart * slots * remaining(now.Sub(p.startAt), startMemory)
	}
	return p.typical * slots * remaining(now.Sub(p.typicalAt), typicalMemory)
}

// reported takes a backend's account into the typical one.
func (p *Pool) reported(now time.Time, s *server) {
	others := s.others / s.slots
	if p.typicalAt.IsZero() {
		p.typical = others
	}
	p.typical += typicalGain * (others - p.typical)
	if now.After(p.typicalAt) {
		p.typicalAt = now
	}
}

// answered takes a latency into the pool's mean and its least.
func (p *Pool) answered(now time.Time, took time.Duration) {
	if p.answers == 0 {
		p.latency, p.leastAt = took.Seconds(), now
	}
	p.answers++
	p.latency += meanGain * (took.Seconds() - p.latency)
	if p.answers < enoughAnswers {
		return
	}
	p.least *= 1 + now.Sub(p.leastAt).Seconds()/leastGrowth
	p.leastAt = now
	if p.least == 0 || p.latency < p.least*(1-leastNoise) {
		p.least = p.latency / (1 - leastNoise)
	}
}

// crowding is how many times the uncrowded latency a latency is.
func (p *Pool) crowding(latency float64) float64 {
	if p.least == 0 {
		return 1
	}
	return max(1, latency/p.least)
}

// weigh gives a request's weight by its size; the mean one weighs 1.
func (p *Pool) weigh(tokens int) float64 {
	if tokens <= 0 {
		return 1
	}
	size := float64(tokens)
	if p.size == 0 {
		p.size = size
	}
	p.size += sizeGain * (size - p.size)
	return within(size/p.size, lightest, heaviest)
}
