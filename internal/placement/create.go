package placement

import (
	"slices"

	"nickelline/internal/view"
)

const (
	partitionsPerStore = 2
	minimumPartitions  = 4
	maximumPartitions  = 512

	// maximumRebalancePasses bounds the passes over the first table that balance the loads of stores.
	maximumRebalancePasses = 4

	// firstEpoch is the epoch of the first view of a chain.
	firstEpoch = 1
)

// Create returns the first table and its changes. It reports false while there are fewer eligible stores than MinimumReplicas.
// It derives the number of partitions from the number of eligible stores, and the number of partitions never changes
// afterwards: the caller should wait until all stores of the deployment have started.
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
	for range maximumRebalancePasses {
		if !p.rebalance() {
			break
		}
	}
	for i := range p.table.Partitions {
		p.setView(i, view.View{Chain: ChainOf(i), Epoch: firstEpoch, Members: p.firstMembers(p.assigned[i])}, Created)
	}
	created, changes := p.finish()
	return created, changes, true
}

// partitionCount returns the number of partitions for a number of eligible stores.
func partitionCount(stores int) int {
	return min(max(partitionsPerStore*stores, minimumPartitions), maximumPartitions)
}

// assignStores chooses the stores of a partition. The first, its head, is the store that is the head of the fewest partitions.
func (p *plan) assignStores(partition int) {
	head := noStore
	for store := range p.stores {
		if p.stores[store].isEligible() && (head == noStore || p.isBetterHead(store, head)) {
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

// rebalance makes the best move of each partition unless it moves the head, and reports whether it made any move.
func (p *plan) rebalance() bool {
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

// isBetterHead reports whether store a is to be preferred to store b as the head of a partition: it is the head of fewer
// partitions or, if the numbers are equal, has the lower load.
func (p *plan) isBetterHead(a, b int) bool {
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
