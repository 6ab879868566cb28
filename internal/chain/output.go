package chain

import (
	"nickelline/internal/segment"
	"nickelline/internal/view"
)

// Output is what a Replica asks of its driver. The driver carries out disk operations and apply operations, each kind in
// order, and calls DiskDone when a disk operation is durable. Messages may be sent at once: whatever they report as being
// on disk is already durable.
type Output struct {
	Messages []Outgoing
	Disk     []DiskOperation
	Apply    []ApplyOperation
	Accepted []Accepted
	Rejected []Rejected
	Barriers []BarrierResult
	Views    []view.View // that came into force, in order
	// SnapshotRequested asks for a snapshot of the applied state, to be passed to SnapshotTaken.
	SnapshotRequested bool
	// Violations are for the log. The messages that violated the protocol were ignored.
	Violations []Violation
}

// Violation describes a message of another replica that violates the protocol.
type Violation struct {
	Sender      view.ReplicaID
	Description string
}

// DiskOperation changes what is on disk. Exactly one of the fields after ID is set.
type DiskOperation struct {
	ID       uint64
	Append   []segment.Entry
	Truncate *uint64 // drop the entries after this sequence
	Reset    *segment.Snapshot
	Record   *Record
}

// Record is what a replica stores beside its log. It is replaced as a whole.
type Record struct {
	View          view.View // newest view that was installed
	CompleteEpoch uint64    // latest epoch in which the replica was complete
	Generation    uint64    // how often the replica was started
	// LostEpoch is the epoch of the view in force when the log was lost, 0 if it never was. A member that joined by then is not complete
	// because it was so before: it has to become so again.
	LostEpoch uint64
}

// ApplyOperation changes the replicated state. Exactly one of its fields is set.
type ApplyOperation struct {
	Entries []segment.Entry
	Restore *segment.Snapshot
}

// Accepted reports the sequence under which a proposal was appended. The proposal is not committed yet.
type Accepted struct{ Proposal, Sequence uint64 }

// Rejected reports that a proposal will get no result from this replica.
type Rejected struct {
	Proposal uint64
	// Unclear is set if the proposal was appended: a later head may still commit it.
	Unclear bool
}

// BarrierResult answers a barrier: everything committed when it was asked for has at most this sequence.
type BarrierResult struct {
	Barrier  uint64
	Sequence uint64
	Failed   bool // this replica is not, or no longer, the head
}
