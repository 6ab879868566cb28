package control

import (
	"testing"
)

func TestPlacementIsReplacedByCompareAndSwap(t *testing.T) {
	m := NewMachine()
	place := func(version, revision uint64, table string) *Command {
		return &Command{ReplacePlacement: &ReplacePlacement{ExpectedVersion: version, ExpectedRevision: revision, Table: []byte(table)}}
	}
	applyAndCheck(t, m, place(0, 0, "one"), Accepted)
	applyAndCheck(t, m, place(0, 0, "two"), VersionMismatch)
	applyAndCheck(t, m, place(1, 0, "two"), Accepted)
	applyAndCheck(t, m, retire("a", 1), Accepted)
	applyAndCheck(t, m, place(2, 0, "three"), VersionMismatch)
	applyAndCheck(t, m, place(2, 1, "three"), Accepted)
	if state := m.State(); state.PlacementVersion != 3 || string(state.Placement) != "three" {
		t.Errorf("got version %d with %q, want 3 with \"three\"", state.PlacementVersion, state.Placement)
	}
}
