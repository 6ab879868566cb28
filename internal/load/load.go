// Package load tells each node how much all nodes together have at each backend, for backends that do not tell it
// themselves.
//
// Nodes report what they have to the collector of their zone, a process that they agree on by the table of members, and get the
// sums back. Collectors of different zones exchange the sums of their zones. All of it goes by datagrams and is kept in
// memory only: a collector that ends is replaced by the next candidate, which knows the whole after one report of each
// node. What is not renewed is forgotten within a few intervals, so that a node without a collector is left with what it
// knows alone.
//
// A node's messages grow with the backends that it uses, of which there are few in a large service (package admission); a
// collector's work grows with the nodes of its zone.
package load

import (
	"time"

	"nickelline/internal/admission"
	"nickelline/internal/peer"
)

const (
	// Interval is the time between two reports of a node: a fraction of the time for which a request stays at a backend,
	// and long enough that reports and answers stay below a few KB a second.
	Interval = 80 * time.Millisecond
	// expiry is for how long a report or a summary counts: a few may be lost.
	expiry = 4 * Interval
)

// Kinds of messages.
const (
	kindReport = peer.LoadKinds + iota
	kindAnswer
	kindSummary
)

// report is what a node has at the backends of a service.
type report struct {
	service string
	loads   []admission.BackendLoad
	// complete: the loads name all backends that the node uses.
	complete bool
	// unasking: no answer is wanted.
	unasking bool
}

// answer is what all nodes have at the backends that a node uses.
type answer struct {
	service string
	// table stands for the backends of the node's last complete report; 0: the collector needs one.
	table uint32
	// loads stand in the order of these backends.
	loads []admission.BackendLoad
}

// summary is what the nodes of a zone have, or a part of it.
type summary struct {
	service string
	zone    string
	loads   []admission.BackendLoad
	part    uint16
}

// tableOf gives the number that stands for backends in their order. It is never 0.
func tableOf(backends []uint32) uint32 {
	const prime = 16777619
	hash := uint32(2166136261)
	for _, backend := range backends {
		hash = (hash ^ backend) * prime
	}
	return max(hash, 1)
}
