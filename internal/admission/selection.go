package admission

// The local zone is preferred, since traffic between zones has a cost. A request goes to another zone only if the score of
// the local candidate meets both of these conditions.
const (
	// The score is at least crossZoneMinScore times the unloaded latency.
	crossZoneMinScore = 8.0
	// With crossZoneAddedQueue requests added to both queues, the score is above crossZoneScoreFactor times that of the
	// remote candidate.
	crossZoneScoreFactor = 1.5
	crossZoneAddedQueue  = 1.0
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

// betterOfTwo draws two candidates at random and returns the one with the lower score, or nil if there are none. If the
// prompt has a shared segment, the candidate that the segment is assigned to takes the place of one of the two, and is
// returned unless its score exceeds affinityFactor times the other score.
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

// prefersOtherZone reports whether the local candidate is so much busier than the remote one that the request goes to the
// other zone.
func (p *Pool) prefersOtherZone(local, remote *candidate) bool {
	if local.score < crossZoneMinScore*p.unloadedLatency {
		return false
	}
	return local.score+crossZoneAddedQueue*local.latency > crossZoneScoreFactor*(remote.score+crossZoneAddedQueue*remote.latency)
}
