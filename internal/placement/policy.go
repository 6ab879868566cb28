package placement

// DefaultConcurrentMoves is how many partitions are balanced at the same time, unless the policy says otherwise.
const DefaultConcurrentMoves = 2

// Policy bounds the tables that Next returns.
type Policy struct {
	// MinimumReplicas is the number of disks that an entry has to be on: no view is made with fewer members.
	MinimumReplicas int
	// ReplicationFactor is the number of members that views have where there are enough stores.
	ReplicationFactor int
	// ConcurrentMoves is how many partitions are balanced at the same time. 0 stands for DefaultConcurrentMoves. More of them
	// even out the table sooner, at the cost of more traffic of learners.
	ConcurrentMoves int
	// Concentrated places the replicas of a partition in one zone as far as it has enough stores, so that replication does not
	// cross zones. It is for deployments that need not tolerate the loss of a zone. Otherwise replicas are spread over zones.
	Concentrated bool
	// MayInterrupt allows the head of one partition to move for the sake of balance though items run there: the next head has
	// to read their prompts again.
	MayInterrupt bool
}

// PolicyFor returns the policy for a number of machines that may be lost at the same time. Views have one replica more than
// has to remain after that, so that a loss does not stop a partition.
func PolicyFor(faultTolerance int) Policy {
	return Policy{MinimumReplicas: faultTolerance + 1, ReplicationFactor: faultTolerance + 2}
}

func (p Policy) concurrentMoves() int {
	if p.ConcurrentMoves > 0 {
		return p.ConcurrentMoves
	}
	return DefaultConcurrentMoves
}

// replicationFactor returns the number of members that views should have with a number of eligible stores.
func (p Policy) replicationFactor(stores int) int {
	return max(p.MinimumReplicas, min(p.ReplicationFactor, stores))
}
