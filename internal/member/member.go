// Package member keeps the list of the processes of the system with SWIM: each process probes one other at a time, asks
// others to probe for it when no answer comes, suspects who stays silent, and spreads suspicions, refutations and new
// members in datagrams. Whole lists are exchanged on joining, after a pause of the own process, after a cut between
// members has healed, and now and then.
//
// The protocol is the state machine core, which takes events and readings of a steady clock and returns what is to be
// sent. Service drives it over package peer.
package member

import (
	"cmp"
	"net/netip"
)

// State is what a member is held to be.
type State uint8

// States, in the order in which they supersede each other within one incarnation.
const (
	Alive State = iota
	// Suspect did not answer and has not refuted that yet. It still counts as alive.
	Suspect
	Dead
	// Left has announced its end.
	Left
)

func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// Member is one process.
type Member struct {
	Name, Role, Zone, Region string
	// Address is where it listens for other processes.
	Address netip.AddrPort
	// ControlPlane is where it listens for the operator, invalid if it does not.
	ControlPlane netip.AddrPort
	// Replica is its identity on disk, 0 if it has none.
	Replica uint64
	// Generation is the number of the process start, as in Cassandra's gossip: a random number that the process draws when it
	// starts, and that tells it from others at its address.
	Generation uint64
	// Incarnation is SWIM's: it orders the updates about a member. Only the member itself raises it, to refute a suspicion
	// or to announce a change of its record.
	Incarnation uint64
	State       State
	// Leaving is set by a member that still serves but is to end soon.
	Leaving bool
}

// Running tells whether the member counts as alive.
func (m *Member) Running() bool { return m.State == Alive || m.State == Suspect }

func (m *Member) claim() claim {
	return claim{address: m.Address, generation: m.Generation, incarnation: m.Incarnation, state: m.State}
}

// claim says in which state a member is, as of one of its incarnations.
type claim struct {
	address     netip.AddrPort
	generation  uint64
	incarnation uint64
	state       State
}

// supersedes tells whether c is newer than other, which is about the same address. The order among processes of one
// address and incarnation is arbitrary: the one that runs raises its incarnation above all others.
func (c claim) supersedes(other claim) bool {
	if c.incarnation != other.incarnation {
		return c.incarnation > other.incarnation
	}
	if c.generation != other.generation {
		return c.generation > other.generation
	}
	return c.state > other.state
}

func compareAddress(a, b netip.AddrPort) int {
	return cmp.Or(a.Addr().Compare(b.Addr()), cmp.Compare(a.Port(), b.Port()))
}
