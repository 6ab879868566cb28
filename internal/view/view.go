package view

import (
	"net/netip"
	"slices"
)

// ReplicaID identifies a replica by a random number that is stored on its disk. A replica that lost its disk gets a new
// number. Zero stands for no replica.
type ReplicaID uint64

// Member is a replica that a view names.
type Member struct {
	Replica ReplicaID
	Name    string
	Zone    string
	Address netip.AddrPort
	// Joined is the first epoch of the latest unbroken run of epochs in which the replica is a member. A replica derives from
	// Joined whether it has everything that was committed, so code that creates views must set it, as Next does.
	Joined uint64
}

// View is the ordered membership of a chain during one epoch.
type View struct {
	Chain   uint32
	Epoch   uint64
	Members []Member // head first, tail last
	// Voters agree on the view of the next epoch, and include the members. Views of a chain whose replicas do not decide
	// their own views name no voters.
	Voters []Member
}

// Electorate returns the replicas that agree on the view of the next epoch: the voters, or the members of a view that names
// no voters.
func (v View) Electorate() []Member {
	if len(v.Voters) == 0 {
		return v.Members
	}
	return v.Voters
}

// HasVoter reports whether a replica is in the electorate.
func (v View) HasVoter(replica ReplicaID) bool { return hasReplica(v.Electorate(), replica) }

// Majority returns the size of a quorum of the electorate.
func (v View) Majority() int { return len(v.Electorate())/2 + 1 }

func hasReplica(members []Member, replica ReplicaID) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Replica == replica })
}

// Index returns the position of a replica in the chain, -1 if it is not a member.
func (v View) Index(replica ReplicaID) int {
	return slices.IndexFunc(v.Members, func(m Member) bool { return m.Replica == replica })
}

// Has reports whether a replica is a member.
func (v View) Has(replica ReplicaID) bool { return v.Index(replica) >= 0 }

// Member returns the member with the given replica ID, and whether there is one.
func (v View) Member(replica ReplicaID) (Member, bool) {
	i := v.Index(replica)
	if i < 0 {
		return Member{}, false
	}
	return v.Members[i], true
}

// Head returns the first member, to which writes go, and whether there is one.
func (v View) Head() (Member, bool) {
	if len(v.Members) == 0 {
		return Member{}, false
	}
	return v.Members[0], true
}

// Tail returns the last member, and whether there is one.
func (v View) Tail() (Member, bool) {
	if len(v.Members) == 0 {
		return Member{}, false
	}
	return v.Members[len(v.Members)-1], true
}

// Successor returns the member after a replica in the chain, and whether there is one.
func (v View) Successor(replica ReplicaID) (Member, bool) {
	i := v.Index(replica)
	if i < 0 || i+1 == len(v.Members) {
		return Member{}, false
	}
	return v.Members[i+1], true
}

// Predecessor returns the member before a replica in the chain, and whether there is one.
func (v View) Predecessor(replica ReplicaID) (Member, bool) {
	i := v.Index(replica)
	if i <= 0 {
		return Member{}, false
	}
	return v.Members[i-1], true
}

// Clone returns a view that shares no memory with v.
func (v View) Clone() View {
	v.Members = slices.Clone(v.Members)
	v.Voters = slices.Clone(v.Voters)
	return v
}

// Equal reports whether two views are the same.
func (v View) Equal(other View) bool {
	return v.Chain == other.Chain && v.Epoch == other.Epoch &&
		slices.Equal(v.Members, other.Members) && slices.Equal(v.Voters, other.Voters)
}
