package placement

// simulatedReplica is the state of a simulated store's replica of one chain.
type simulatedReplica struct {
	epoch    uint64
	complete bool
	caughtUp bool
	// remaining is the number of steps until a learner has caught up, or a new member is complete.
	remaining int
}

// simulatedStore is a store that installs views and catches up after random delays.
type simulatedStore struct {
	store    Store
	replicas map[uint32]*simulatedReplica
}

// advance installs some of the views that the store is assigned to, and advances its replicas by one step.
func (m *simulatedStore) advance(h *history) {
	if !m.store.Alive {
		return
	}
	for _, assignment := range h.table.AssignmentsOf(m.store.Replica) {
		if h.random.IntN(3) > 0 {
			m.install(h, assignment)
		}
	}
	for chain, r := range m.replicas {
		m.progress(h, chain, r)
	}
}

func (m *simulatedStore) installAll(h *history) {
	for _, assignment := range h.table.AssignmentsOf(m.store.Replica) {
		m.install(h, assignment)
	}
}

func (m *simulatedStore) install(h *history, assignment Assignment) {
	v := assignment.View
	r := m.replicas[v.Chain]
	if r == nil {
		r = &simulatedReplica{remaining: h.random.IntN(maximumCatchUpSteps)}
		m.replicas[v.Chain] = r
	}
	if assignment.Learner || r.epoch == v.Epoch {
		return
	}
	member, _ := v.Member(m.store.Replica)
	if member.Joined > r.epoch && v.Epoch > firstEpoch {
		r.complete = false
		r.remaining = h.random.IntN(maximumCatchUpSteps)
	}
	r.caughtUp = false
	r.epoch = v.Epoch
	r.complete = r.complete || v.Epoch == firstEpoch
}

// progress advances a replica by one step of catching up, if there is a complete member that is alive.
func (m *simulatedStore) progress(h *history, chain uint32, r *simulatedReplica) {
	partition := h.table.Partitions[chain-1]
	if !h.hasComplete(partition.View) {
		return
	}
	if r.remaining > 0 {
		r.remaining--
		return
	}
	switch {
	case partition.View.Has(m.store.Replica):
		r.complete = r.complete || r.epoch == partition.View.Epoch
	case partition.hasLearner(m.store.Replica):
		r.caughtUp = true
	default:
		delete(m.replicas, chain)
	}
}
