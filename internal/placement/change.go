package placement

import "fmt"

// ChangeKind tells what was changed.
type ChangeKind uint8

// The kinds of changes.
const (
	// Created is a first view.
	Created ChangeKind = iota + 1
	// Repaired is a view without members that cannot be reached, or with learners that have caught up, or both.
	Repaired
	// Emptied is a view without the members on stores that are being retired.
	RetiringDropped
	// Trimmed is a view without a member that is beyond the wanted number.
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
	RetiringDropped: "emptied",
	ExcessDropped:   "trimmed",
	HeadMoved:       "head moved",
	LearnerAdded:    "learner added",
	LearnerRemoved:  "learner removed",
}

// String gives the name of the kind.
func (k ChangeKind) String() string { return changeNames[k] }

// Change is one difference between two tables, for the log.
type Change struct {
	Kind  ChangeKind
	Chain uint32
	// Epoch is that of the view after the change.
	Epoch uint64
	// Store is the name of the store that a learner was added or removed for.
	Store string
}

// MovesHead tells whether the change is a move of a head for the sake of balance.
func (c Change) MovesHead() bool { return c.Kind == HeadMoved }

// String describes the change.
func (c Change) String() string {
	if c.Store == "" {
		return fmt.Sprintf("chain %d, epoch %d: %s", c.Chain, c.Epoch, c.Kind)
	}
	return fmt.Sprintf("chain %d, epoch %d: %s: %s", c.Chain, c.Epoch, c.Kind, c.Store)
}
