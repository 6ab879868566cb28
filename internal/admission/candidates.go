package admission

import (
	"time"

	"nickelline/decide"
)

// candidate is a backend that may receive the current request.
type candidate struct {
	backend *backend
	latency float64 // expected time to first byte, s
	score   float64 // the lower, the better
}

// band groups candidates by their mode and zone.
type band int

const (
	normalNear band = iota // in the zone of this node
	normalFar
	overloadedNear
	overloadedFar
	bands
)

// bandOf returns the band of a backend. A backend that is not normal is overloaded.
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

// scanResult summarizes one pass over the backends of a pool.
type scanResult struct {
	usable        int     // backends that are neither excluded nor skipped as ejected, in any mode
	normal        int     // candidates in normal mode
	overloadDepth float64 // sum of the positions of usable backends between H (0) and R (1)
	excessLoad    float64 // sum of the loads above H, as multiples of H
	// localAwaitsFirstByte is set if a backend of the local zone takes no more batch work only because of its unanswered
	// requests.
	localAwaitsFirstByte bool
	hasFreeSlots         bool // a candidate has free slots and no waiting requests
}

// backlog returns the mean load above H, as a multiple of H.
func (s *scanResult) backlog() float64 { return s.excessLoad / float64(max(1, s.usable)) }

// findCandidates sorts the backends into bands. Ejected backends are included only if no other backend is usable.
func (p *Pool) findCandidates(now time.Time, r *Request, c class) scanResult {
	found := p.scan(now, r, c, false)
	if found.usable == 0 {
		found = p.scan(now, r, c, true)
	}
	return found
}

// scan sorts the backends into bands. Unless includeEjected is set, it skips ejected backends that are not due for a trial.
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

// classify computes the mode of a backend and appends the backend to its band. Blocking backends are in no band; for batch
// work, neither are backends with too many unanswered requests.
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
