package admission

import (
	"time"

	"nickelline/decide"
)

// candidate is a backend that may get the request at hand.
type candidate struct {
	backend *backend
	latency float64 // expected, s
	score   float64 // the lower, the better
}

// band groups candidates by their mode and zone.
type band int

const (
	normalNear band = iota // of the node's own zone
	normalFar
	overloadedNear
	overloadedFar
	bands
)

// bandOf returns the band of a backend that is normal, or else overloaded.
func bandOf(normal, sameZone bool) band {
	b := overloadedFar
	if normal {
		b = normalFar
	}
	if sameZone {
		b--
	}
	return b
}

// scanResult is what one pass over the backends has found.
type scanResult struct {
	usable        int     // backends that may get the request, in any mode
	normal        int     // of those in normal mode
	overloadDepth float64 // of those, how far they are between H and R, summed
	excessLoad    float64 // loads over H, as multiples of H, summed
	// localAwaitsFirstByte: a backend of the own zone is blocked for batch work only until it has answered.
	localAwaitsFirstByte bool
	hasFreeSlots         bool // a backend has free slots, and no request waits there
}

// backlog returns the mean load over H, as a multiple of H.
func (s *scanResult) backlog() float64 { return s.excessLoad / float64(max(1, s.usable)) }

// findCandidates sorts the backends into bands. Ejected ones are included only if there is nothing else.
func (p *Pool) findCandidates(now time.Time, r *Request, c class) scanResult {
	found := p.scan(now, r, c, false)
	if found.usable == 0 {
		found = p.scan(now, r, c, true)
	}
	return found
}

// scan sorts the backends into bands, the ejected ones only if asked to.
func (p *Pool) scan(now time.Time, r *Request, c class, includeEjected bool) scanResult {
	found := scanResult{}
	for i := range p.candidates {
		p.candidates[i] = p.candidates[i][:0]
	}
	for _, b := range p.backends {
		if r.Exclude != nil && r.Exclude(b.listed.ID) {
			continue
		}
		p.ejectUnresponsive(now, b)
		if !includeEjected && !b.health.available(now) {
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

// classify finds the mode of a backend and puts it into its band.
func (p *Pool) classify(now time.Time, b *backend, c class, found *scanResult) {
	others := b.otherRequests(now, p)
	load := b.weight + others
	latency := b.expectedLatency(now, p)
	limits := p.thresholdsOf(now, b, c, load, latency)
	if c == batch && p.hasSharedLoads(now) {
		load = b.batchLoad(p)
	}
	mode := b.nextMode(now, c, limits, load)
	found.usable++
	found.excessLoad += max(0, load/limits.high-1)
	if mode == decide.Blocking {
		found.overloadDepth++
		return
	}
	if c == batch && b.allUnanswered(now, p) >= p.batchUnansweredLimit(latency) {
		found.localAwaitsFirstByte = found.localAwaitsFirstByte || b.sameZone
		return
	}
	found.hasFreeSlots = found.hasFreeSlots || b.hasFreeSlots(now, others)
	normal := mode == decide.Normal
	if normal {
		found.normal++
	} else {
		found.overloadDepth += clamp((load-limits.high)/(limits.block-limits.high), 0, 1)
	}
	group := bandOf(normal, b.sameZone)
	score := b.score(now, b.queueAhead(now, load, others, p), latency)
	p.candidates[group] = append(p.candidates[group], candidate{backend: b, latency: latency, score: score})
}
