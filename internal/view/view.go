// Package view holds the membership views of a replication chain: what a view is, the policy that derives the next one,
// and the agreement on it (single-decree Paxos for each epoch among the voters of the epoch before).
//
// A view names two groups. Its members replicate: a member that cannot be reached is dropped at once, so that the chain goes
// on. Its voters agree on the next view: a replica that was dropped keeps its vote until another one that has caught up takes
// it, so that the agreement bears the loss of a disk at every moment.
package view

import (
	"net/netip"
	"slices"
)

// ReplicaID identifies a replica by the random number that it keeps on its disk. A replica that lost its disk has
// another one. Zero is none.
type ReplicaID uint64

// Member is a replica that a view names.
type Member struct {
	Replica ReplicaID
	Name    string
	Zone    string
	Address netip.AddrPort
	// Joined is the first epoch of those, without a gap up to this one, whose views name the replica. It tells a
	// replica whether it has all that was committed, so that it must be set by whoever makes views, as Next does.
	Joined uint64
}

// View is the ordered membership of a chain during one epoch.
type View struct {
	Chain   uint32
	Epoch   uint64
	Members []Member // head first, tail last
	// Voters agree on the view of the next epoch. They are chosen by voters, and contain the members. A view that its
	// replicas do not agree on themselves names none.
	Voters []Member
}

// Electorate gives those who agree on the view of the next epoch: the voters, or the members of a view that names none.
func (v View) Electorate() []Member {
	if len(v.Voters) == 0 {
		return v.Members
	}
	return v.Voters
}

// HasVoter tells whether a replica is one of those who agree on the view of the next epoch.
func (v View) HasVoter(replica ReplicaID) bool { return hasReplica(v.Electorate(), replica) }

// Majority gives how many of the electorate decide on the view of the next epoch.
func (v View) Majority() int { return len(v.Electorate())/2 + 1 }

func hasReplica(members []Member, replica ReplicaID) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Replica == replica })
}

// Index gives the position of a replica in the chain, -1 if the view does not name it.
func (v View) Index(replica ReplicaID) int {
	return slices.IndexFunc(v.Members, func(m Member) bool { return m.Replica == replica })
}

// Has tells whether the view names a replica.
func (v View) Has(replica ReplicaID) bool { return v.Index(replica) >= 0 }

// Member gives the member with a replica's identity.
func (v View) Member(replica ReplicaID) (Member, bool) {
	i := v.Index(replica)
	if i < 0 {
		return Member{}, false
	}
	return v.Members[i], true
}

// Head gives the first member, to which writes go.
func (v View) Head() (Member, bool) {
	if len(v.Members) == 0 {
		return Member{}, false
	}
	return v.Members[0], true
}

// Tail gives the last member.
func (v View) Tail() (Member, bool) {
	if len(v.Members) == 0 {
		return Member{}, false
	}
	return v.Members[len(v.Members)-1], true
}

// Successor gives the member that follows a replica in the chain.
func (v View) Successor(replica ReplicaID) (Member, bool) {
	i := v.Index(replica)
	if i < 0 || i+1 == len(v.Members) {
		return Member{}, false
	}
	return v.Members[i+1], true
}

// Predecessor gives the member before a replica in the chain.
func (v View) Predecessor(replica ReplicaID) (Member, bool) {
	i := v.Index(replica)
	if i <= 0 {
		return Member{}, false
	}
	return v.Members[i-1], true
}

// Clone gives a view that shares no memory with v.
func (v View) Clone() View {
	v.Members = slices.Clone(v.Members)
	v.Voters = slices.Clone(v.Voters)
	return v
}

// Equal tells whether two views are the same.
func (v View) Equal(other View) bool {
	return v.Chain == other.Chain && v.Epoch == other.Epoch &&
		slices.Equal(v.Members, other.Members) && slices.Equal(v.Voters, other.Voters)
}
