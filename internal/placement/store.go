package placement

import "nickelline/internal/view"

// Store is what is known of a store.
type Store struct {
	// Member tells who it is. A store whose replica is not known yet is given nothing.
	view.Member
	// Alive is false for a store that failure detection holds for dead, and for one that has not reported for so long
	// that it has to be taken for that.
	Alive bool
	// Leaving is set for a store that still serves but is about to end.
	Leaving bool
	// Retiring is set for a store that is to be emptied, or was.
	Retiring bool
	// Progress is what it reported last of its chains.
	Progress []Progress
}

// Progress is how far a replica is with a chain (chain.Status).
type Progress struct {
	Chain uint32
	// Epoch is that of the newest view that the replica knows.
	Epoch uint64
	// Complete tells that a member has all that was ever committed.
	Complete bool
	// CaughtUp tells that a learner has all that its feeder knew to be committed.
	CaughtUp bool
	// Running is how many items of batch jobs run at the replica, which is the head then.
	Running uint32
}

func (s *Store) progress(chain uint32) (Progress, bool) {
	for _, progress := range s.Progress {
		if progress.Chain == chain {
			return progress, true
		}
	}
	return Progress{}, false
}

// mayHold tells whether the store may be given partitions.
func (s *Store) isEligible() bool { return s.Alive && !s.Leaving && !s.Retiring && s.Replica != 0 }

// Policy bounds the tables that Next gives.
type Policy struct {
	// MinimumReplicas is the number of disks that an entry has to be on: no view is made with fewer members.
	MinimumReplicas int
	// TargetReplicas is the number of members that views have where there are stores enough.
	ReplicationFactor int
	// MovesAtOnce is how many partitions are balanced at the same time. 0 stands for DefaultMovesAtOnce.
	ConcurrentMoves int
	// Concentrated has the replicas of a partition lie in one zone as far as it has stores enough, so that what is
	// replicated does not cross zones. It is for deployments that need not bear the loss of a zone. Otherwise replicas
	// are spread over the zones.
	Concentrated bool
	// MayInterrupt allows that the head of one partition is moved for the sake of balance though items run there: the next
	// head has to read their prompts again.
	MayInterrupt bool
}

// DefaultMovesAtOnce is how many partitions are balanced at the same time.
const DefaultConcurrentMoves = 2

// PolicyFor gives the policy for a number of machines that may be lost at one time: one replica more than what has to
// remain in any case, so that a loss does not stop a partition.
func PolicyFor(faultTolerance int) Policy {
	return Policy{MinimumReplicas: faultTolerance + 1, ReplicationFactor: faultTolerance + 2}
}

func (p Policy) concurrentMoves() int {
	if p.ConcurrentMoves > 0 {
		return p.ConcurrentMoves
	}
	return DefaultConcurrentMoves
}

// target is the number of members wanted with a number of stores that may hold partitions.
func (p Policy) replicationFactor(stores int) int {
	return max(p.MinimumReplicas, min(p.ReplicationFactor, stores))
}
