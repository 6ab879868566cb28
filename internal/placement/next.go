package placement

import (
	"slices"

	"nickelline/internal/view"
)

// Next derives the next table from the current one and the state of the stores. It changes each partition at most once, and
// leaves the given table unmodified. If nothing is to be changed, it returns an equal table and no changes.
func Next(table Table, stores []Store, policy Policy) (Table, []Change) {
	p := newPlan(table.Clone(), stores, policy)
	p.countAssignments()
	for i := range p.table.Partitions {
		p.maintain(i)
	}
	p.balanceReplicas()
	p.balanceHeads()
	return p.finish()
}

// maintain makes the changes that a partition needs independently of the others. It changes nothing until all members that
// are alive have reported: a node that has just become head of the control chain has no reports yet, and would otherwise
// change partitions that need no change.
func (p *plan) maintain(partition int) {
	if !p.hasReports(partition) {
		return
	}
	p.repair(partition)
	p.dropRetiring(partition)
	p.dropExcess(partition)
	p.removeLearners(partition)
	p.addLearners(partition)
}

// hasReports reports whether all members that are alive have reported their progress.
func (p *plan) hasReports(partition int) bool {
	current := &p.table.Partitions[partition]
	for _, member := range current.View.Members {
		store := p.storeOf(member)
		if store == noStore || !p.stores[store].Alive {
			continue
		}
		if _, ok := p.stores[store].progress(current.View.Chain); !ok {
			return false
		}
	}
	return true
}

// isComplete reports whether a member is alive and has all entries that were ever committed.
func (p *plan) isComplete(chain uint32, member view.Member) bool {
	store := p.storeOf(member)
	if store == noStore || !p.stores[store].Alive {
		return false
	}
	progress, _ := p.stores[store].progress(chain)
	return progress.Complete && progress.Epoch >= member.Joined
}

// isCurrent reports whether a member is complete and has reported that it knows the view.
func (p *plan) isCurrent(v view.View, member view.Member) bool {
	if !p.isComplete(v.Chain, member) {
		return false
	}
	progress, _ := p.stores[p.storeOf(member)].progress(v.Chain)
	return progress.Epoch >= v.Epoch
}

// isStable reports whether all members of a partition's view are complete and know the view, and none is about to shut down.
func (p *plan) isStable(partition int) bool {
	v := p.table.Partitions[partition].View
	return !slices.ContainsFunc(v.Members, func(m view.Member) bool {
		return !p.isCurrent(v, m) || p.stores[p.storeOf(m)].Leaving
	})
}
