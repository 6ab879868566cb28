package admission

import (
	"cmp"
	"slices"

	"nickelline/internal/discovery"
)

// A node uses all backends of a service, or a subset if there are many. Rendezvous hashing by the node's name keeps the
// subset stable: a small change of the list exchanges few backends.
const (
	// subsetSize is the maximum number of backends of a pool.
	subsetSize = 64
	// subsetSameZone is the number of backends in a subset that are from the node's zone, if the zone has as many. The subset
	// has more of them if the other zones have too few.
	subsetSameZone = 48
)

// rankedBackend is a backend with its hash rank for the node. The subset has the backends of the lowest ranks.
type rankedBackend struct {
	backend discovery.Backend
	rank    uint64
}

// subset returns the backends that a node in a zone uses. node is the hash of the node's name.
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

// appendLowest appends the count backends of the lowest ranks. It sorts from.
func appendLowest(kept []discovery.Backend, from []rankedBackend, count int) []discovery.Backend {
	slices.SortFunc(from, func(a, b rankedBackend) int { return cmp.Compare(a.rank, b.rank) })
	for _, r := range from[:count] {
		kept = append(kept, r.backend)
	}
	return kept
}
