package placement

import "fmt"

// ChangeKind is what was changed.
type ChangeKind uint8

// The kinds of changes.
const (
	// Created is a first view.
	Created ChangeKind = iota + 1
	// Repaired is a view without unreachable or leaving members, or with learners that have caught up, or both.
	Repaired
	// RetiringDropped is a view without the members on stores that are being retired.
	RetiringDropped
	// ExcessDropped is a view without members beyond the replication factor.
	ExcessDropped
	// HeadMoved is a view with another member as head.
	HeadMoved
	// LearnerAdded and LearnerRemoved change the learners.
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

// MovesHead reports whether the change moves a head for the sake of balance.
func (c Change) MovesHead() bool { return c.Kind == HeadMoved }

// String returns a description of the change.
func (c Change) String() string {
	if c.Store == "" {
		return fmt.Sprintf("chain %d, epoch %d: %s", c.Chain, c.Epoch, c.Kind)
	}
	return fmt.Sprintf("chain %d, epoch %d: %s: %s", c.Chain, c.Epoch, c.Kind, c.Store)
}
