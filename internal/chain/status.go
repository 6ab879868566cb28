package chain

import "time"

// Status is the replica's progress.
type Status struct {
	Epoch        uint64 // of the view in force here
	LastAppended uint64 // sequence of the last entry in the log
	Synced       uint64 // sequence up to which the log is on the disk
	Committed    uint64 // sequence up to which entries are known to be committed
	Applied      uint64 // sequence up to which the machine has applied them
	// Complete tells that this replica has all that was ever committed: it may be the head of the next view.
	Complete bool
	// Ready tells that this replica is the head and connected with all other members.
	Ready bool
	// CaughtUp tells that this learner has all that its source knew to be committed.
	CaughtUp bool
}

// Status gives the replica's progress.
func (n *Node) Status() Status {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	status := n.replica.Status()
	status.Applied = n.applier.applied
	return status
}

// CaughtUp tells that this learner has all that its source knew to be committed.
func (n *Node) CaughtUp() bool { return n.Status().CaughtUp }

// IsHead tells whether the view in force here names this replica as head. Only a Barrier proves that it still is.
func (n *Node) IsHead() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.failure == nil && n.replica.isHead()
}

// Impaired tells that the replica's disk has failed or is stalled: the chain should go on without it.
func (n *Node) Impaired() bool { return n.stopped() || n.disk.stalled(time.Now()) }
