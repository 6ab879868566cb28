package member

import (
	"cmp"
	"net/netip"
)

// State is the state of a member as recorded in the list of a process.
type State uint8

// States, in the order in which they supersede each other within one incarnation.
const (
	// Alive is the state of a member that answers.
	Alive State = iota
	// Suspect is the state of a member that did not answer a probe and has not refuted the suspicion yet. It still
	// counts as running.
	Suspect
	// Dead is the state of a member that has not refuted a suspicion in time.
	Dead
	// Left is the state of a member that has announced its end.
	Left
)

// String returns the name of the state.
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

// Member is the record of one process.
type Member struct {
	Name, Role, Zone, Region string
	// Address is where the member listens for other processes.
	Address netip.AddrPort
	// ControlPlane is where the member listens for the operator, invalid if it does not.
	ControlPlane netip.AddrPort
	// Replica is the identity that the member keeps on disk, 0 if it has none.
	Replica uint64
	// Generation identifies the process start, as in Cassandra's gossip: a random number that the process draws when it
	// starts, and that distinguishes it from other processes at its address.
	Generation uint64
	// Incarnation is SWIM's incarnation number, which orders the updates about a member. Only the member itself raises
	// it, to refute a suspicion or to announce a change of its record.
	Incarnation uint64
	State       State
	// Leaving is set by a member that still serves but will end soon.
	Leaving bool
}

// Running reports whether the member counts as running: it is alive or suspect.
func (m *Member) Running() bool { return m.State == Alive || m.State == Suspect }

func (m *Member) assertion() assertion {
	return assertion{address: m.Address, generation: m.Generation, incarnation: m.Incarnation, state: m.State}
}

// assertion is a claim about the state of a member, as of one of its generations and incarnations.
type assertion struct {
	address     netip.AddrPort
	generation  uint64
	incarnation uint64
	state       State
}

// supersedes reports whether a is newer than other, which is about the same address. The order of processes with the same
// address and incarnation is arbitrary: the one that runs raises its incarnation above all others.
func (a assertion) supersedes(other assertion) bool {
	if a.incarnation != other.incarnation {
		return a.incarnation > other.incarnation
	}
	if a.generation != other.generation {
		return a.generation > other.generation
	}
	return a.state > other.state
}

func compareAddress(a, b netip.AddrPort) int {
	return cmp.Or(a.Addr().Compare(b.Addr()), cmp.Compare(a.Port(), b.Port()))
}
