package placement

import (
	"slices"

	"nickelline/internal/view"
)

// Next derives the table that should follow from what is known of the stores. Each partition is changed at most once. If
// nothing is to be changed the table is the same and there are no changes.
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

// maintain does what a partition needs whatever the others do.
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

// reported tells whether all members that are alive have told how far they are. A control process that has just become
// head waits for that, so as not to change what is in order.
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

// complete tells whether a member is alive and has all that was ever committed.
func (p *plan) isComplete(chain uint32, member view.Member) bool {
	store := p.storeOf(member)
	if store == noStore || !p.stores[store].Alive {
		return false
	}
	progress, _ := p.stores[store].progress(chain)
	return progress.Complete && progress.Epoch >= member.Joined
}

// settled tells whether all members of a view are complete and know the view, and none is about to end.
func (p *plan) isStable(partition int) bool {
	v := p.table.Partitions[partition].View
	return !slices.ContainsFunc(v.Members, func(m view.Member) bool { return !p.isCurrent(v, m) || p.stores[p.storeOf(m)].Leaving })
}

// current tells whether a member is complete and knows the view.
func (p *plan) isCurrent(v view.View, member view.Member) bool {
	if !p.isComplete(v.Chain, member) {
		return false
	}
	progress, _ := p.stores[p.storeOf(member)].progress(v.Chain)
	return progress.Epoch >= v.Epoch
}

// repair drops members that cannot be reached or are about to end, and appends learners that have caught up.
func (p *plan) repair(partition int) {
	current := &p.table.Partitions[partition]
	candidates := p.candidates(partition)
	next, ok := view.Next(current.View, candidates, view.Policy{
		MinimumMembers: p.policy.MinimumReplicas,
		MaximumMembers: len(current.View.Members) + len(current.Learners),
	})
	if ok {
		p.setView(partition, next, Repaired)
	}
}

func (p *plan) candidates(partition int) []view.Candidate {
	current := &p.table.Partitions[partition]
	var candidates []view.Candidate
	for _, member := range current.View.Members {
		store := p.storeOf(member)
		if store == noStore {
			candidates = append(candidates, view.Candidate{Member: member, DiskLost: p.isDiskLost(member)})
			continue
		}
		candidates = append(candidates, view.Candidate{
			Member:    member,
			Reachable: p.stores[store].Alive,
			Complete:  p.isComplete(current.View.Chain, member),
			Leaving:   p.stores[store].Leaving,
		})
	}
	for _, learner := range current.Learners {
		store := p.storeOf(learner)
		if store == noStore || !slices.Contains(p.assigned[partition], store) {
			continue
		}
		progress, _ := p.stores[store].progress(current.View.Chain)
		candidates = append(candidates, view.Candidate{Member: learner, Reachable: true, CaughtUp: progress.CaughtUp})
	}
	return candidates
}

// diskLost tells whether another replica is alive at the address of a member that is not known.
func (p *plan) isDiskLost(member view.Member) bool {
	return slices.ContainsFunc(p.stores, func(s Store) bool { return s.Alive && s.Replica != 0 && s.Address == member.Address })
}

// dropRetiring drops the members on stores that are being retired once the others are complete and as many as are wanted.
func (p *plan) dropRetiring(partition int) {
	v := p.table.Partitions[partition].View
	if p.changed[partition] {
		return
	}
	var remaining []view.Member
	complete := 0
	for _, member := range v.Members {
		if store := p.storeOf(member); store != noStore && p.stores[store].Retiring {
			continue
		}
		remaining = append(remaining, member)
		if p.isCurrent(v, member) {
			complete++
		}
	}
	if len(remaining) == len(v.Members) || complete < p.replicationFactor || !p.isCurrent(v, remaining[0]) {
		return
	}
	p.setView(partition, view.View{Chain: v.Chain, Epoch: v.Epoch + 1, Members: remaining}, RetiringDropped)
}

// dropExcess drops a member beyond the wanted number.
func (p *plan) dropExcess(partition int) {
	v := p.table.Partitions[partition].View
	if p.changed[partition] || len(v.Members) <= p.replicationFactor || !p.isStable(partition) {
		return
	}
	remaining := slices.DeleteFunc(slices.Clone(v.Members), func(m view.Member) bool {
		store := p.storeOf(m)
		return !p.stores[store].Retiring && !slices.Contains(p.assigned[partition], store)
	})
	if len(remaining) == len(v.Members) || len(remaining) < p.replicationFactor {
		return
	}
	p.setView(partition, view.View{Chain: v.Chain, Epoch: v.Epoch + 1, Members: remaining}, ExcessDropped)
}

// removeLearners removes those that are gone, or are not needed any more.
func (p *plan) removeLearners(partition int) {
	if p.changed[partition] {
		return
	}
	current := &p.table.Partitions[partition]
	var remaining []view.Member
	for _, learner := range current.Learners {
		if store := p.storeOf(learner); store != noStore && slices.Contains(p.assigned[partition], store) {
			remaining = append(remaining, learner)
			continue
		}
		p.recordChange(partition, LearnerRemoved, learner.Name)
	}
	current.Learners = remaining
}

// addLearners adds as many as are missing from the wanted number of replicas.
func (p *plan) addLearners(partition int) {
	if p.changed[partition] {
		return
	}
	for len(p.assigned[partition]) < p.replicationFactor {
		store := p.bestStore(p.assigned[partition], noStore)
		if store == noStore {
			return
		}
		p.addLearner(partition, store)
	}
}

func (p *plan) addLearner(partition, store int) {
	current := &p.table.Partitions[partition]
	learner := p.stores[store].Member
	learner.Joined = 0
	current.Learners = append(current.Learners, learner)
	p.assigned[partition] = append(p.assigned[partition], store)
	p.addLoad(store, 1)
	p.recordChange(partition, LearnerAdded, learner.Name)
}
