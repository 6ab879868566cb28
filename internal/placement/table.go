package placement

import (
	"hash/fnv"
	"slices"

	"nickelline/internal/view"
)

// Table is the placement of all partitions. It must not be changed once it is published.
type Table struct {
	// Version is 1 for the table that Create returns and rises by 1 with each change. It is 0 for the empty table before the
	// first placement.
	Version    uint64
	Partitions []Partition
}

// Partition is one chain of stores, with the replicas that are to join it.
type Partition struct {
	View view.View
	// Learners are the replicas that replicate the chain's log in order to become members.
	Learners []view.Member
}

// ChainOf returns the number of the chain of the partition at an index. Chain 0 is that of the control state.
func ChainOf(partition int) uint32 { return uint32(partition) + 1 }

// PartitionOf returns the index of the partition of a tenant, -1 if there are no partitions. The index depends only on the
// tenant's name and the number of partitions.
func (t Table) PartitionOf(tenant string) int {
	if len(t.Partitions) == 0 {
		return -1
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(tenant))
	return int(finalizeHash(hash.Sum64()) % uint64(len(t.Partitions)))
}

// finalizeHash mixes the bits of a hash, so that similar names do not get similar values (the finalizer of MurmurHash3).
func finalizeHash(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}

// Assignment is the role of one replica in a partition.
type Assignment struct {
	Partition int
	View      view.View
	// Learner is set if the replica is a learner of the partition and not a member of the view.
	Learner bool
}

// AssignmentsOf returns the assignments of a replica: the partitions that it is a member or a learner of.
func (t Table) AssignmentsOf(replica view.ReplicaID) []Assignment {
	var assignments []Assignment
	for i, partition := range t.Partitions {
		switch {
		case partition.View.Has(replica):
			assignments = append(assignments, Assignment{Partition: i, View: partition.View})
		case partition.hasLearner(replica):
			assignments = append(assignments, Assignment{Partition: i, View: partition.View, Learner: true})
		}
	}
	return assignments
}

// References reports whether a replica is a member or a learner of any partition.
func (t Table) References(replica view.ReplicaID) bool {
	return slices.ContainsFunc(t.Partitions, func(p Partition) bool { return p.View.Has(replica) || p.hasLearner(replica) })
}

// Clone returns a table that shares no memory with t.
func (t Table) Clone() Table {
	t.Partitions = slices.Clone(t.Partitions)
	for i, partition := range t.Partitions {
		t.Partitions[i] = Partition{View: partition.View.Clone(), Learners: slices.Clone(partition.Learners)}
	}
	return t
}

// Equal reports whether two tables are the same.
func (t Table) Equal(other Table) bool {
	return t.Version == other.Version && slices.EqualFunc(t.Partitions, other.Partitions, Partition.Equal)
}

// Equal reports whether two partitions are the same.
func (p Partition) Equal(other Partition) bool {
	return p.View.Equal(other.View) && slices.Equal(p.Learners, other.Learners)
}

func (p Partition) hasLearner(replica view.ReplicaID) bool {
	return slices.ContainsFunc(p.Learners, func(m view.Member) bool { return m.Replica == replica })
}
