package load

import (
	"time"

	"nickelline/internal/admission"
	"nickelline/internal/peer"
)

const (
	// Interval is the time between two reports of a node. It is a fraction of the time for which a request stays at a
	// backend, and long enough for reports and responses to take no more than a few KB a second.
	Interval = 80 * time.Millisecond
	// expiry is how long a report or a summary is valid without renewal. It allows for the loss of a few messages.
	expiry = 4 * Interval
)

// Kinds of messages.
const (
	kindReport = peer.LoadKinds + iota
	kindResponse
	kindSummary
)

// report holds the loads that one node causes at the backends of a service.
type report struct {
	service string
	loads   []admission.BackendLoad
	// complete is set if the loads name all backends that the node uses.
	complete bool
	// oneWay is set if the collector need not respond.
	oneWay bool
}

// response holds the loads that all nodes cause at the backends that the receiver uses.
type response struct {
	service string
	// backendsHash identifies the backends of the receiver's last complete report; 0: the collector needs a complete report.
	backendsHash uint32
	// loads are in the order of these backends, without the identifiers.
	loads []admission.BackendLoad
}

// summary holds the loads that the nodes of a zone cause. A long summary is split into chunks, numbered from 0.
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
