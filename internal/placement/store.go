package placement

import "nickelline/internal/view"

// Store is the state of a store as the head of the control chain knows it.
type Store struct {
	// Member identifies the store. A store whose replica is not known yet (0) is not assigned any partition.
	view.Member
	// Alive is false for a store that failure detection reports as failed, and for one that has sent no report for too long.
	Alive bool
	// Leaving is set for a store that is still serving but is about to shut down.
	Leaving bool
	// Retiring is set for a store that is being emptied, or has been.
	Retiring bool
	// Progress is the store's latest report on its chains.
	Progress []Progress
}

// Progress is how far a replica has progressed in a chain (chain.Status).
type Progress struct {
	Chain uint32
	// Epoch is the epoch of the latest view that the replica knows.
	Epoch uint64
	// Complete is set if a member has all entries that were ever committed.
	Complete bool
	// CaughtUp is set if a learner has all entries that its source knew to be committed.
	CaughtUp bool
	// Running is how many items of batch jobs run at the replica, if it is the head.
	Running uint32
}

// progress returns the store's latest report on a chain, and false if there is none.
func (s *Store) progress(chain uint32) (Progress, bool) {
	for _, progress := range s.Progress {
		if progress.Chain == chain {
			return progress, true
		}
	}
	return Progress{}, false
}

// isEligible reports whether the store may be assigned partitions.
func (s *Store) isEligible() bool { return s.Alive && !s.Leaving && !s.Retiring && s.Replica != 0 }
