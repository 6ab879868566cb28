package placement

import "fmt"

// ChangeKind tells what a Change changes in a partition.
type ChangeKind uint8

// The kinds of changes.
const (
	// Created is the first view of a partition.
	Created ChangeKind = iota + 1
	// Repaired is a view from which unreachable or leaving members were dropped, to which learners that have caught up were
	// appended, or both.
	Repaired
	// RetiringDropped is a view from which the members on stores that are being retired were dropped.
	RetiringDropped
	// ExcessDropped is a view from which members beyond the replication factor were dropped.
	ExcessDropped
	// HeadMoved is a view with the same members, one of which has replaced the previous head.
	HeadMoved
	// LearnerAdded and LearnerRemoved change the learners and keep the view.
	LearnerAdded
	LearnerRemoved
)

var changeNames = map[ChangeKind]string{
	Created:         "created",
	Repaired:        "repaired",
	RetiringDropped: "retiring members dropped",
	ExcessDropped:   "excess members dropped",
	HeadMoved:       "head moved",
	LearnerAdded:    "learner added",
	LearnerRemoved:  "learner removed",
}

// String returns the name of the kind.
func (k ChangeKind) String() string { return changeNames[k] }

// Change is one difference between two tables, for the log.
type Change struct {
	Kind  ChangeKind
	Chain uint32
	// Epoch is that of the view after the change.
	Epoch uint64
	// Store is the name of the store for which a learner was added or removed, empty for changes of other kinds.
	Store string
}

// MovesHead reports whether the change moves a head in order to balance the table.
func (c Change) MovesHead() bool { return c.Kind == HeadMoved }

// String returns a description of the change.
func (c Change) String() string {
	if c.Store == "" {
		return fmt.Sprintf("chain %d, epoch %d: %s", c.Chain, c.Epoch, c.Kind)
	}
	return fmt.Sprintf("chain %d, epoch %d: %s: %s", c.Chain, c.Epoch, c.Kind, c.Store)
}
