package placement

import (
	"cmp"
	"slices"

	"nickelline/internal/view"
)

// noStore is the index that stands for no store.
const noStore = -1

// plan is the state of one computation of a table. Stores are referred to by their index.
type plan struct {
	table             Table
	policy            Policy
	replicationFactor int
	stores            []Store
	// zones lists the zones that have eligible stores.
	zones []zone
	// index maps replicas to the index of their store.
	index   map[view.ReplicaID]int
	changes []Change
	// changed tells, for each partition, whether this computation has changed it. Each is changed at most once.
	changed []bool
	// assigned lists, for each partition, the stores that will hold it once the moves in progress are finished.
	assigned [][]int
	// loads and heads count, for each store, the partitions that it is assigned to and those that it is the head of.
	loads []int
	heads []int
}

func newPlan(table Table, stores []Store, policy Policy) *plan {
	p := &plan{
		table:    table,
		policy:   policy,
		stores:   slices.Clone(stores),
		index:    make(map[view.ReplicaID]int, len(stores)),
		changed:  make([]bool, len(table.Partitions)),
		assigned: make([][]int, len(table.Partitions)),
		loads:    make([]int, len(stores)),
		heads:    make([]int, len(stores)),
	}
	slices.SortFunc(p.stores, func(a, b Store) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Replica, b.Replica))
	})
	eligible := 0
	for i := range p.stores {
		p.index[p.stores[i].Replica] = i
		if p.stores[i].isEligible() {
			eligible++
			p.addToZone(i)
		}
	}
	p.replicationFactor = policy.replicationFactor(eligible)
	return p
}

// countAssignments derives the assigned stores of all partitions, and the loads of all stores, from the table.
func (p *plan) countAssignments() {
	for i := range p.table.Partitions {
		p.assigned[i] = p.eligibleStores(&p.table.Partitions[i])
		for _, store := range p.assigned[i] {
			p.addLoad(store, 1)
		}
		if head := p.headStore(i); head != noStore {
			p.addHeads(head, 1)
		}
	}
	for i := range p.table.Partitions {
		p.trimAssigned(i)
	}
}

// trimAssigned reduces the assigned stores of a partition to the replication factor.
func (p *plan) trimAssigned(partition int) {
	for len(p.assigned[partition]) > p.replicationFactor {
		position := p.removalPosition(p.assigned[partition])
		p.addLoad(p.assigned[partition][position], -1)
		p.assigned[partition] = slices.Delete(p.assigned[partition], position, position+1)
	}
}

// eligibleStores returns the eligible stores that are members or learners of a partition.
func (p *plan) eligibleStores(partition *Partition) []int {
	var stores []int
	for _, members := range [][]view.Member{partition.View.Members, partition.Learners} {
		for _, member := range members {
			if store := p.storeOf(member); store != noStore && p.stores[store].isEligible() {
				stores = append(stores, store)
			}
		}
	}
	return stores
}

// storeOf returns the store that has the replica of a member, noStore if none is known.
func (p *plan) storeOf(member view.Member) int {
	store, ok := p.index[member.Replica]
	if !ok || member.Replica == 0 {
		return noStore
	}
	return store
}

// headStore returns the store of the head of a partition, noStore if none is known.
func (p *plan) headStore(partition int) int {
	head, ok := p.table.Partitions[partition].View.Head()
	if !ok {
		return noStore
	}
	return p.storeOf(head)
}

// removalPosition returns the position of the store whose removal leaves the best distribution over zones. Ties are broken by
// the highest load, then by the last position.
func (p *plan) removalPosition(assigned []int) int {
	best := 0
	for position := 1; position < len(assigned); position++ {
		if p.removalRank(assigned, position) >= p.removalRank(assigned, best) {
			best = position
		}
	}
	return best
}

// removalRank returns the rank of the assigned store at a position: by the cost of its zone, then by its load. The store of the
// highest rank is removed first.
func (p *plan) removalRank(assigned []int, position int) int {
	store := assigned[position]
	return p.zoneCost(assigned, p.stores[store].Zone)*p.loadScale() + p.loads[store]
}

// loadScale is greater than any load: a value multiplied by it outweighs a difference of loads.
func (p *plan) loadScale() int { return len(p.table.Partitions) + 1 }

func (p *plan) recordChange(partition int, kind ChangeKind, store string) {
	p.changed[partition] = true
	v := p.table.Partitions[partition].View
	p.changes = append(p.changes, Change{Kind: kind, Chain: v.Chain, Epoch: v.Epoch, Store: store})
}

// setView replaces the view of a partition, and removes the learners that have become members of it.
func (p *plan) setView(partition int, next view.View, kind ChangeKind) {
	current := &p.table.Partitions[partition]
	current.View = next
	current.Learners = slices.DeleteFunc(current.Learners, func(m view.Member) bool { return next.Has(m.Replica) })
	p.recordChange(partition, kind, "")
}

// finish returns the table, with the next version if anything was changed, and the changes.
func (p *plan) finish() (Table, []Change) {
	if len(p.changes) > 0 {
		p.table.Version++
	}
	return p.table, p.changes
}
