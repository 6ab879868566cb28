package placement

import (
	"slices"

	"nickelline/internal/view"
)

// hasComplete reports whether a view has a complete member.
func (h *history) hasComplete(v view.View) bool {
	return slices.ContainsFunc(v.Members, func(member view.Member) bool { return h.isComplete(v.Chain, member) })
}

// isComplete reports whether a member is alive and has all committed entries according to the simulation, not its reports.
func (h *history) isComplete(chain uint32, member view.Member) bool {
	for _, m := range h.simulated {
		if m.store.Replica == member.Replica && m.store.Alive {
			r := m.replicas[chain]
			return r != nil && r.complete && r.epoch >= member.Joined
		}
	}
	return false
}

func (h *history) checkChanges(next Table, changes []Change) {
	for _, change := range changes {
		head, _ := next.Partitions[change.Chain-1].View.Head()
		if change.Kind == HeadMoved && !h.isEligible(head.Replica) {
			h.fatal("chain %d: got the head moved to %s, which is not eligible", change.Chain, head.Name)
		}
	}
}

func (h *history) check(before, after Partition) {
	if after.View.Epoch != before.View.Epoch {
		h.checkView(before.View, after.View)
	} else if !after.View.Equal(before.View) {
		h.fatal("got different views %+v and %+v with the same epoch", before.View, after.View)
	}
	for _, learner := range after.Learners {
		switch {
		case after.View.Has(learner.Replica):
			h.fatal("chain %d: got %s as member and learner", after.View.Chain, learner.Name)
		case !before.hasLearner(learner.Replica) && !h.isEligible(learner.Replica):
			h.fatal("chain %d: got new learner %s, which is not eligible", after.View.Chain, learner.Name)
		}
	}
}

func (h *history) checkView(before, after view.View) {
	if after.Epoch != before.Epoch+1 || after.Chain != before.Chain {
		h.fatal("got epoch %d of chain %d after epoch %d of chain %d", after.Epoch, after.Chain, before.Epoch, before.Chain)
	}
	if len(after.Members) < h.policy.MinimumReplicas {
		h.fatal("chain %d: got %d members, want at least %d", after.Chain, len(after.Members), h.policy.MinimumReplicas)
	}
	healthyDropped := slices.ContainsFunc(before.Members, func(m view.Member) bool {
		return !after.Has(m.Replica) && h.isHealthy(m.Replica)
	})
	if target := newPlan(Table{}, h.stores(), h.policy).replicationFactor; healthyDropped && len(after.Members) < target {
		h.fatal("chain %d: got %d members after a healthy one was dropped, want %d", after.Chain, len(after.Members), target)
	}
	head, _ := after.Head()
	if !before.Has(head.Replica) || !h.isComplete(after.Chain, head) {
		h.fatal("chain %d, epoch %d: got a head that is new or not complete", after.Chain, after.Epoch)
	}
	for i, member := range after.Members {
		if after.Index(member.Replica) != i {
			h.fatal("chain %d: got %s twice", after.Chain, member.Name)
		}
		former, stays := before.Member(member.Replica)
		if stays && former != member || !stays && member.Joined != after.Epoch {
			h.fatal("epoch %d: got member %+v with the wrong epoch of joining", after.Epoch, member)
		}
	}
}

func (h *history) isEligible(replica view.ReplicaID) bool {
	return slices.ContainsFunc(h.simulated, func(m *simulatedStore) bool { return m.store.Replica == replica && m.store.isEligible() })
}

func (h *history) isHealthy(replica view.ReplicaID) bool {
	return slices.ContainsFunc(h.simulated, func(m *simulatedStore) bool {
		return m.store.Replica == replica && m.store.Alive && !m.store.Leaving
	})
}

// allOnDisk reports whether all members of all partitions have all committed entries on their disks.
func (h *history) allOnDisk() bool {
	return !slices.ContainsFunc(h.table.Partitions, func(p Partition) bool {
		return slices.ContainsFunc(p.View.Members, func(member view.Member) bool { return !h.onDisk(p.View.Chain, member) })
	})
}

// allRecoverable reports whether each partition still has a complete replica on a disk.
func (h *history) allRecoverable() bool {
	return !slices.ContainsFunc(h.table.Partitions, func(p Partition) bool {
		complete := slices.DeleteFunc(slices.Clone(p.View.Members), func(member view.Member) bool {
			return !h.onDisk(p.View.Chain, member)
		})
		return len(complete) == 0
	})
}

func (h *history) onDisk(chain uint32, member view.Member) bool {
	return slices.ContainsFunc(h.simulated, func(m *simulatedStore) bool {
		r := m.replicas[chain]
		return m.store.Replica == member.Replica && r != nil && r.complete && r.epoch >= member.Joined
	})
}

// checkStable checks that a stable table is fully replicated and balanced, and holds no retiring stores.
func (h *history) checkStable() {
	stores := h.stores()
	p := newPlan(h.table, stores, h.policy)
	for i, partition := range h.table.Partitions {
		if len(partition.View.Members) != p.replicationFactor || len(partition.Learners) > 0 || !p.isFullyReplicated(i) {
			h.fatal("chain %d: got stable partition %+v, want %d complete members and no learners", partition.View.Chain, partition, p.replicationFactor)
		}
	}
	for i := range stores {
		if stores[i].Retiring && !CanRemove(h.table, stores, stores[i].Replica, h.policy) {
			h.fatal("got retiring store %s that cannot be removed from a stable table", stores[i].Name)
		}
	}
	if difference := countDifference(h.table, stores, isHead); difference > 2 {
		h.fatal("got a difference of %d heads, want at most 2", difference)
	}
	p.countAssignments()
	if move := p.bestMove(); move.gain > 0 {
		h.fatal("got a stable table with move %+v left", move)
	}
}
