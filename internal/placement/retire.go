package placement

import (
	"slices"

	"nickelline/internal/fault"
	"nickelline/internal/view"
)

// CheckRetire returns an error if a store cannot be retired: one of kind fault.NotFound if there is no store of that name, and
// one of kind fault.Conflict if fewer eligible stores than MinimumReplicas would remain.
func CheckRetire(stores []Store, name string, policy Policy) error {
	known := false
	remaining := 0
	for i := range stores {
		switch {
		case stores[i].Name == name:
			known = true
		case stores[i].isEligible():
			remaining++
		}
	}
	if !known {
		return fault.New(fault.NotFound, "there is no store %s", name)
	}
	if remaining < policy.MinimumReplicas {
		return fault.New(fault.Conflict, "%d stores would remain, %d are needed", remaining, policy.MinimumReplicas)
	}
	return nil
}

// CanRemove reports whether a store that is being retired can be removed: its replica is neither a member nor a learner of any
// partition, and each partition has its full number of complete replicas on other stores.
func CanRemove(table Table, stores []Store, retiring view.ReplicaID, policy Policy) bool {
	if table.References(retiring) {
		return false
	}
	p := newPlan(table, stores, policy)
	for i := range table.Partitions {
		if !p.isFullyReplicated(i) {
			return false
		}
	}
	return true
}

// isFullyReplicated reports whether a partition has as many complete replicas on eligible stores as the replication factor.
func (p *plan) isFullyReplicated(partition int) bool {
	v := p.table.Partitions[partition].View
	isMissing := func(m view.Member) bool { return !p.isCurrent(v, m) || !p.stores[p.storeOf(m)].isEligible() }
	remaining := slices.DeleteFunc(slices.Clone(v.Members), isMissing)
	return len(remaining) >= p.replicationFactor
}
