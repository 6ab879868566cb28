package control

import "fmt"

// replacePlacement replaces the placement table by compare-and-swap.
func (m *Machine) replacePlacement(request *ReplacePlacement) Result {
	state := m.State()
	if state.PlacementVersion != request.ExpectedVersion {
		return placementMismatch(state, request.ExpectedVersion)
	}
	if state.RetirementRevision != request.ExpectedRevision {
		return Result{Outcome: VersionMismatch, Version: state.PlacementVersion, Text: "the retirements have changed"}
	}
	next := state.withPlacement(request.Table)
	m.state.Store(next)
	return Result{Outcome: Accepted, Version: next.PlacementVersion}
}

func placementMismatch(state *State, expected uint64) Result {
	text := fmt.Sprintf("version %d of the placement is current, not %d", state.PlacementVersion, expected)
	return Result{Outcome: VersionMismatch, Version: state.PlacementVersion, Text: text}
}
