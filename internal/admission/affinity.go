package admission

const (
	// segmentsPerGeneration is the maximum number of segments in each of the two generations of a segmentSet.
	segmentsPerGeneration = 4096
	// affinityFactor bounds the preference for the backend that a prompt prefix is assigned to: the backend is selected if
	// its score is at most this multiple of the other candidate's score.
	affinityFactor = 1.6
)

// segmentSet holds the prompt segments of recent requests, to detect segments that several requests share. Its size is
// bounded: when the recent generation is full, the older one is dropped and the recent one takes its place.
type segmentSet struct{ recent, older map[uint64]struct{} }

func newSegmentSet() *segmentSet { return &segmentSet{recent: make(map[uint64]struct{})} }

// record adds a segment and reports whether it was already in the set.
func (m *segmentSet) record(segment uint64) bool {
	if _, ok := m.recent[segment]; ok {
		return true
	}
	_, known := m.older[segment]
	if len(m.recent) >= segmentsPerGeneration {
		m.older, m.recent = m.recent, make(map[uint64]struct{})
	}
	m.recent[segment] = struct{}{}
	return known
}

// lastShared records the segments of a prompt, and returns the hash of the last one that an earlier request had too, or 0
// if there is none.
func (m *segmentSet) lastShared(prefix []string) uint64 {
	last := uint64(0)
	for _, id := range prefix {
		if segment := hashOf(id); m.record(segment) {
			last = segment
		}
	}
	return last
}

// affineCandidate returns the index of the candidate that rendezvous hashing assigns to a segment. All nodes of a zone
// compute the same one, so that few backends have to process the segment.
func affineCandidate(candidates []candidate, segment uint64) int {
	best, weight := 0, uint64(0)
	for i := range candidates {
		if w := mix64(candidates[i].backend.hash ^ segment); w >= weight {
			best, weight = i, w
		}
	}
	return best
}
