package admission

const (
	rememberedSegments = 4096 // parts of prompts in each of two generations
	affinityFactor     = 1.6  // of the other candidate's score, up to which the backend that knows the prefix is taken
)

// partMemory remembers which parts of prompts came lately, to tell those that requests share. It is bounded: the
// older of two generations is dropped when the younger is full.
type segmentMemory struct{ recent, older map[uint64]struct{} }

func newSegmentMemory() *segmentMemory { return &segmentMemory{recent: make(map[uint64]struct{})} }

// seen notes a part and tells whether it had come before.
func (m *segmentMemory) record(part uint64) bool {
	if _, ok := m.recent[part]; ok {
		return true
	}
	_, known := m.older[part]
	if len(m.recent) >= rememberedSegments {
		m.older, m.recent = m.recent, make(map[uint64]struct{})
	}
	m.recent[part] = struct{}{}
	return known
}

// sharedPart gives the last part of a prompt that other requests had too, 0 for none.
func (m *segmentMemory) lastShared(prefix []string) uint64 {
	last := uint64(0)
	for _, id := range prefix {
		if part := hashOf(id); m.record(part) {
			last = part
		}
	}
	return last
}

// affine gives the candidate that rendezvous hashing assigns to a part. All nodes of a zone come to the same one, so a
// part is read by few backends.
func affineCandidate(candidates []candidate, part uint64) int {
	best, weight := 0, uint64(0)
	for i := range candidates {
		if w := mix64(candidates[i].backend.hash ^ part); w >= weight {
			best, weight = i, w
		}
	}
	return best
}
