package load

import (
	"time"

	"nickelline/internal/admission"
	"nickelline/internal/peer"
)

const (
	// Interval is the time between two reports of a node: a fraction of the time for which a request stays at a backend,
	// and long enough that reports and responses stay below a few KB a second.
	Interval = 80 * time.Millisecond
	// expiry is how long a report or a summary counts without renewal. A few may be lost.
	expiry = 4 * Interval
)

// Kinds of messages.
const (
	kindReport = peer.LoadKinds + iota
	kindResponse
	kindSummary
)

// report is what a node has at the backends of a service.
type report struct {
	service string
	loads   []admission.BackendLoad
	// complete is set if the loads name all backends that the node uses.
	complete bool
	// oneWay is set if no response is wanted.
	oneWay bool
}

// response is what all nodes have at the backends that a node uses.
type response struct {
	service string
	// backendsHash identifies the backends of the node's last complete report; 0: the collector needs one.
	backendsHash uint32
	// loads are in the order of these backends, without their identifiers.
	loads []admission.BackendLoad
}

// summary is what the nodes of a zone have. A long one is split into chunks.
type summary struct {
	service string
	zone    string
	loads   []admission.BackendLoad
	chunk   uint16
}

// hashBackends returns a number that identifies a list of backends and their order. It is never 0.
func hashBackends(backends []uint32) uint32 {
	const prime = 16777619
	hash := uint32(2166136261)
	for _, backend := range backends {
		hash = (hash ^ backend) * prime
	}
	return max(hash, 1)
}
