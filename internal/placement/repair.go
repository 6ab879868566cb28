package placement

import (
	"slices"

	"nickelline/internal/view"
)

// repair drops members that are unreachable or about to shut down, and appends learners that have caught up.
func (p *plan) repair(partition int) {
	current := &p.table.Partitions[partition]
	next, ok := view.Next(current.View, p.candidates(partition), view.Policy{
		MinimumMembers: p.policy.MinimumReplicas,
		MaximumMembers: len(current.View.Members) + len(current.Learners),
	})
	if ok {
		p.setView(partition, next, Repaired)
	}
}

// candidates returns the members of a partition, and the learners whose stores are still assigned to it.
func (p *plan) candidates(partition int) []view.Candidate {
	current := &p.table.Partitions[partition]
	var candidates []view.Candidate
	for _, member := range current.View.Members {
		candidates = append(candidates, p.memberCandidate(current.View.Chain, member))
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

func (p *plan) memberCandidate(chain uint32, member view.Member) view.Candidate {
	store := p.storeOf(member)
	if store == noStore {
		return view.Candidate{Member: member, DiskLost: p.isDiskLost(member)}
	}
	return view.Candidate{
		Member:    member,
		Reachable: p.stores[store].Alive,
		Complete:  p.isComplete(chain, member),
		Leaving:   p.stores[store].Leaving,
	}
}

// isDiskLost reports whether the disk of a member whose store is not known was lost: another replica is alive at its address.
func (p *plan) isDiskLost(member view.Member) bool {
	return slices.ContainsFunc(p.stores, func(s Store) bool { return s.Alive && s.Replica != 0 && s.Address == member.Address })
}

// dropRetiring drops the members on stores that are being retired, once at least replicationFactor other members are complete
// and the first of the others can be the head.
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

// dropExcess drops the members whose stores are no longer assigned to a partition because a move has replaced them.
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
