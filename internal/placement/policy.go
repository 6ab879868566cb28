package placement

// DefaultConcurrentMoves is how many partitions are balanced at the same time, unless the policy says otherwise.
const DefaultConcurrentMoves = 2

// Policy bounds the tables that Next returns.
type Policy struct {
	// MinimumReplicas is the least number of disks that an entry is on before it is committed: no view has fewer members.
	MinimumReplicas int
	// ReplicationFactor is the number of members that views have if there are enough eligible stores.
	ReplicationFactor int
	// ConcurrentMoves is how many partitions are balanced at the same time. 0 stands for DefaultConcurrentMoves. A greater
	// number balances the table sooner, at the cost of more replication traffic to learners.
	ConcurrentMoves int
	// Concentrated places the replicas of a partition in one zone, or in as few zones as possible if none has enough stores, so
	// that replication does not cross zones. It is for deployments that need not tolerate the loss of a zone. Otherwise
	// replicas are spread over zones.
	Concentrated bool
	// MayInterrupt allows Next to move one head at which items run, in order to balance heads. The cost of such a move is that
	// the new head sends these items to backends again, and their prompts have to be read again.
	MayInterrupt bool
}

// PolicyFor returns the policy for a number of machines that may be lost at the same time. A committed entry is on at least
// faultTolerance+1 disks, and views have faultTolerance+2 members, so that the loss of one machine does not stop a partition.
func PolicyFor(faultTolerance int) Policy {
	return Policy{MinimumReplicas: faultTolerance + 1, ReplicationFactor: faultTolerance + 2}
}

func (p Policy) concurrentMoves() int {
	if p.ConcurrentMoves > 0 {
		return p.ConcurrentMoves
	}
	return DefaultConcurrentMoves
}

// replicationFactor returns the number of members that views should have, given the number of eligible stores.
func (p Policy) replicationFactor(stores int) int {
	return max(p.MinimumReplicas, min(p.ReplicationFactor, stores))
}
