package control

import "fmt"

// retire records that a store is to be emptied, if enough other stores remain.
func (m *Machine) retire(request *Retire) Result {
	state := m.State()
	if present, found := state.Retirement(request.Store.Name); found && isSameRetirement(present, request.Store) {
		return Result{Outcome: Repeated}
	}
	if remaining := remainingStores(state, request); remaining < request.Minimum {
		return Result{Outcome: Refused, Text: fmt.Sprintf("%d stores would remain, %d are needed", remaining, request.Minimum)}
	}
	m.state.Store(state.withRetirement(Retirement{Store: request.Store, Duration: request.Duration}))
	return Result{Outcome: Accepted}
}

// isSameRetirement reports whether a request to retire a store repeats an earlier retirement of that name. It asks for a new
// retirement if the earlier one was completed and the machine now holds another replica.
func isSameRetirement(present Retirement, store Store) bool {
	return !present.Completed || store.Replica == 0 || present.Store.Replica == store.Replica
}

// remainingStores counts the stores that can still be given data after a requested retirement.
func remainingStores(state *State, request *Retire) int {
	remaining := 0
	for _, store := range request.Stores {
		if store.Name != request.Store.Name && !state.Retired(store) {
			remaining++
		}
	}
	return remaining
}

// completeRetirement records that a store has been emptied, if the placement has not changed since that was observed.
func (m *Machine) completeRetirement(request *CompleteRetirement) Result {
	state := m.State()
	present, found := state.Retirement(request.Store.Name)
	switch {
	case !found || present.Store != request.Store:
		return Result{Outcome: Refused, Text: fmt.Sprintf("%s is not being retired", request.Store.Name)}
	case present.Completed:
		return Result{Outcome: Repeated}
	case state.PlacementVersion != request.ExpectedVersion:
		return placementMismatch(state, request.ExpectedVersion)
	}
	present.Completed = true
	if request.CurrentReplica != 0 {
		present.Store.Replica = request.CurrentReplica
	}
	m.state.Store(state.withRetirement(present))
	return Result{Outcome: Accepted}
}
