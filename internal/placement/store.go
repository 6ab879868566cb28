package placement

import "nickelline/internal/view"

// Store is what is known of a store.
type Store struct {
	// Member identifies it. A store whose replica is not known yet is assigned nothing.
	view.Member
	// Alive is false for a store that failure detection reports as failed, and for one that has sent no report for too long.
	Alive bool
	// Leaving is set for a store that still serves but is about to shut down.
	Leaving bool
	// Retiring is set for a store that is to be emptied, or was.
	Retiring bool
	// Progress is what it reported last of its chains.
	Progress []Progress
}

// Progress is how far a replica has progressed in a chain (chain.Status).
type Progress struct {
	Chain uint32
	// Epoch is that of the latest view that the replica knows.
	Epoch uint64
	// Complete is set if a member has everything that was ever committed.
	Complete bool
	// CaughtUp is set if a learner has everything that its source knew to be committed.
	CaughtUp bool
	// Running is how many items of batch jobs run at the replica, if it is the head.
	Running uint32
}

// progress returns what the store reported last of a chain, and whether it did.
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
