package chain

import (
	"nickelline/internal/segment"
	"nickelline/internal/view"
)

// Output is what a Replica asks of its driver after events. Disk operations and apply operations are each carried out in
// order; a disk operation that is done is told by DiskDone.
type Output struct {
	Messages []Outgoing
	Disk     []DiskOperation
	Apply    []ApplyOperation
	Accepted []Accepted
	Rejected []Rejected
	Barriers []BarrierResult
	Views    []view.View // that came into force
	// SnapshotRequested asks for a snapshot of the machine, to be given by SnapshotTaken.
	SnapshotRequested bool
	// Violations are breaches of the protocol that were noticed; the message behind each was ignored.
	Violations []string
}

// DiskOperation changes what is on the disk. One of its parts is set.
type DiskOperation struct {
	ID       uint64
	Append   []segment.Entry
	Truncate *uint64 // drop the entries after this sequence
	Reset    *segment.Snapshot
	Record   *Record
}

// Record is what a replica keeps beside its log.
type Record struct {
	View          view.View
	CompleteEpoch uint64
	Generation    uint64
}

// ApplyOperation changes the machine. One of its parts is set.
type ApplyOperation struct {
	Entries []segment.Entry
	Restore *segment.Snapshot
}

// Accepted tells that a proposal was appended under a sequence.
type Accepted struct{ Proposal, Sequence uint64 }

// Rejected tells that a proposal will get no result.
type Rejected struct {
	Proposal uint64
	// Unclear tells that it was appended and may be committed yet.
	Unclear bool
}

// BarrierResult answers a barrier: all that was committed when it was asked for has at most this sequence.
type BarrierResult struct {
	Barrier  uint64
	Sequence uint64
	Failed   bool // this replica is not the head, or no longer
}
