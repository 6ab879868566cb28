package admission

// The own zone is preferred, since bytes between zones cost. A request leaves it only if
const (
	zoneDelay  = 8.0 // the score is over this multiple of the uncrowded latency, s,
	zoneFactor = 1.5 // and over this multiple of the score in the other zone,
	zoneSlack  = 1.0 // with so many requests added to both loads.
)

// selectBackend selects among the normal candidates, or else among the overloaded ones. It returns nil if there are none.
func (p *Pool) selectBackend(r *Request, normal bool) *backend {
	near, far := p.candidates[bandOf(normal, true)], p.candidates[bandOf(normal, false)]
	segment := p.recentSegments.lastShared(r.Prefix)
	local, remote := p.betterOfTwo(near, segment), p.betterOfTwo(far, segment)
	switch {
	case local == nil && remote == nil:
		return nil
	case local == nil:
		return remote.backend
	case remote == nil || !p.prefersOtherZone(local, remote):
		return local.backend
	}
	return remote.backend
}

// betterOfTwo draws two candidates and returns the one with the lower score. The backend that has read the prompt's
// shared segment takes the place of one of them, and is preferred unless it is much busier.
func (p *Pool) betterOfTwo(candidates []candidate, segment uint64) *candidate {
	switch len(candidates) {
	case 0:
		return nil
	case 1:
		return &candidates[0]
	}
	first := p.random.IntN(len(candidates))
	factor := 1.0
	if segment != 0 {
		first = affineCandidate(candidates, segment)
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

// prefersOtherZone reports whether a backend of the own zone is so much busier that the request leaves the zone.
func (p *Pool) prefersOtherZone(local, remote *candidate) bool {
	if local.score < zoneDelay*p.uncrowded {
		return false
	}
	return local.score+zoneSlack*local.latency > zoneFactor*(remote.score+zoneSlack*remote.latency)
}
