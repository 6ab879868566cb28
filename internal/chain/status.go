package chain

import "time"

// Status is a replica's progress.
type Status struct {
	Epoch        uint64 // of the view in force here
	LastAppended uint64 // sequence of the last entry in the log
	Synced       uint64 // sequence up to which the log is on disk
	Committed    uint64 // sequence up to which entries are known to be committed
	Applied      uint64 // sequence up to which entries are applied to the state machine
	// Complete is set if this replica has every entry that was ever committed, so that it may be head of the next view.
	Complete bool
	// Ready is set if this replica is the head, all members are connected, and the view has enough members to commit.
	Ready bool
	// CaughtUp is set if this learner has what its source was last known to have committed.
	CaughtUp bool
}

// Status returns the replica's progress.
func (n *Node) Status() Status {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	status := n.replica.Status()
	status.Applied = n.applier.applied
	return status
}

// CaughtUp reports whether this learner has what its source was last known to have committed.
func (n *Node) CaughtUp() bool { return n.Status().CaughtUp }

// IsHead reports whether the view in force here names this replica as head. Only a Barrier proves that it still is.
func (n *Node) IsHead() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.failure == nil && n.replica.isHead()
}

// HeadTerm returns the term in which this replica is head, 0 if it is not the head by the view in force here. As long as
// the term lasts, no other replica appends a command. Only a Barrier proves that it has not ended.
func (n *Node) HeadTerm() uint64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.failure != nil || !n.replica.isHead() {
		return 0
	}
	return n.replica.HeadTerm()
}

// Impaired reports whether this replica has failed, or its disk is stalled or fails, so that the chain should go on without it.
func (n *Node) Impaired() bool {
	return n.stopped() || n.diskHealth.isFailing(logTask) || n.disk.stalled(time.Now())
}

// DiskStatus says whether this replica's disk works.
func (n *Node) DiskStatus() DiskStatus { return n.diskHealth.status() }
