package admission

import (
	"cmp"
	"slices"

	"nickelline/internal/discovery"
)

// A node uses all backends of a service, or a subset where there are many. Rendezvous hashing by the node's name keeps
// the subset stable: each change of the list exchanges few backends.
const (
	// subsetSize is the greatest number of backends of a pool.
	subsetSize = 64
	// subsetSameZone is the number of those from the node's zone, if it has so many.
	subsetSameZone = 48
)

// rankedBackend is a backend with its rank for the node: the lowest ranks are taken.
type rankedBackend struct {
	backend discovery.Backend
	rank    uint64
}

// subset returns the backends that a node of a zone uses.
func subset(all []discovery.Backend, zone string, node uint64) []discovery.Backend {
	if len(all) <= subsetSize {
		return all
	}
	var near, far []rankedBackend
	for _, b := range all {
		r := rankedBackend{backend: b, rank: mix64(hashOf(b.ID) ^ node)}
		if b.Zone == zone {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	nearCount := min(len(near), max(subsetSameZone, subsetSize-len(far)))
	kept := make([]discovery.Backend, 0, subsetSize)
	kept = appendLowest(kept, near, nearCount)
	return appendLowest(kept, far, subsetSize-nearCount)
}

// appendLowest appends the backends of the lowest ranks.
func appendLowest(kept []discovery.Backend, from []rankedBackend, count int) []discovery.Backend {
	slices.SortFunc(from, func(a, b rankedBackend) int { return cmp.Compare(a.rank, b.rank) })
	for _, r := range from[:count] {
		kept = append(kept, r.backend)
	}
	return kept
}
