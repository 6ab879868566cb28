package admission

const (
	// rememberedSegments is the number of prompt segments in each of two generations.
	rememberedSegments = 4096
	// affinityFactor is the multiple of the other candidate's score up to which the backend that knows the prompt is taken.
	affinityFactor = 1.6
)

// segmentMemory remembers which segments of prompts came lately, to find those that requests share. It is bounded: the
// older of two generations is dropped when the recent one is full.
type segmentMemory struct{ recent, older map[uint64]struct{} }

func newSegmentMemory() *segmentMemory { return &segmentMemory{recent: make(map[uint64]struct{})} }

// record remembers a segment and reports whether it was known.
func (m *segmentMemory) record(segment uint64) bool {
	if _, ok := m.recent[segment]; ok {
		return true
	}
	_, known := m.older[segment]
	if len(m.recent) >= rememberedSegments {
		m.older, m.recent = m.recent, make(map[uint64]struct{})
	}
	m.recent[segment] = struct{}{}
	return known
}

// lastShared returns the hash of the last segment of a prompt that other requests had too, 0 for none.
func (m *segmentMemory) lastShared(prefix []string) uint64 {
	last := uint64(0)
	for _, id := range prefix {
		if segment := hashOf(id); m.record(segment) {
			last = segment
		}
	}
	return last
}

// affineCandidate returns the index of the candidate that rendezvous hashing assigns to a segment. All nodes of a zone
// agree on it, so a segment is read by few backends.
func affineCandidate(candidates []candidate, segment uint64) int {
	best, weight := 0, uint64(0)
	for i := range candidates {
		if w := mix64(candidates[i].backend.hash ^ segment); w >= weight {
			best, weight = i, w
		}
	}
	return best
}
