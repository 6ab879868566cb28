package placement

import (
	"slices"

	"nickelline/internal/view"
)

const (
	partitionsPerStore = 2
	minimumPartitions  = 4
	maximumPartitions  = 512

	// maximumEvenOutPasses bounds the passes over the first table that even out the loads.
	maximumEvenOutPasses = 4

	// firstEpoch is the epoch of the first view of a chain.
	firstEpoch = 1
)

// Create returns the first table, and false while there are fewer eligible stores than MinimumReplicas. The number of
// partitions stays the same from then on, and is derived from the number of stores: the caller should wait until no more
// stores start.
func Create(stores []Store, policy Policy) (Table, []Change, bool) {
	eligible := 0
	for i := range stores {
		if stores[i].isEligible() {
			eligible++
		}
	}
	if eligible < max(1, policy.MinimumReplicas) {
		return Table{}, nil, false
	}
	p := newPlan(Table{Partitions: make([]Partition, partitionCount(eligible))}, stores, policy)
	for i := range p.table.Partitions {
		p.assignStores(i)
	}
	for range maximumEvenOutPasses {
		if !p.evenOut() {
			break
		}
	}
	for i := range p.table.Partitions {
		p.setView(i, view.View{Chain: ChainOf(i), Epoch: firstEpoch, Members: p.firstMembers(p.assigned[i])}, Created)
	}
	created, changes := p.finish()
	return created, changes, true
}

// partitionCount returns the number of partitions for a number of stores.
func partitionCount(stores int) int {
	return min(max(partitionsPerStore*stores, minimumPartitions), maximumPartitions)
}

// assignStores chooses the stores of a partition, beginning with that which is head of the fewest.
func (p *plan) assignStores(partition int) {
	head := noStore
	for store := range p.stores {
		if p.stores[store].isEligible() && (head == noStore || p.betterHead(store, head)) {
			head = store
		}
	}
	assigned := []int{head}
	p.addHeads(head, 1)
	p.addLoad(head, 1)
	for len(assigned) < p.replicationFactor {
		store := p.bestStore(assigned, noStore)
		assigned = append(assigned, store)
		p.addLoad(store, 1)
	}
	p.assigned[partition] = assigned
}

// evenOut makes the best move of each partition, except of its head, and reports whether there was any.
func (p *plan) evenOut() bool {
	changed := false
	for i := range p.table.Partitions {
		move := p.bestMoveOf(i)
		if move.gain == 0 || p.assigned[i][0] == move.from {
			continue
		}
		p.assigned[i][slices.Index(p.assigned[i], move.from)] = move.to
		p.addLoad(move.from, -1)
		p.addLoad(move.to, 1)
		changed = true
	}
	return changed
}

// betterHead reports whether a store should rather become the head of a partition than another one.
func (p *plan) betterHead(a, b int) bool {
	if p.heads[a] != p.heads[b] {
		return p.heads[a] < p.heads[b]
	}
	return p.loads[a] < p.loads[b]
}

// firstMembers returns the members of a first view, the head first.
func (p *plan) firstMembers(assigned []int) []view.Member {
	members := make([]view.Member, 0, len(assigned))
	for _, store := range assigned {
		member := p.stores[store].Member
		member.Joined = firstEpoch
		members = append(members, member)
	}
	return slices.Clip(members)
}
