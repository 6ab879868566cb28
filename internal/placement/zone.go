package placement

import (
	"cmp"
	"slices"
)

// zone holds the eligible stores of one zone.
type zone struct {
	name   string
	stores []int
	// sorted is set while stores is in the order of compareLoads.
	sorted bool
}

func (p *plan) addToZone(store int) {
	i := p.zoneIndex(store)
	if i < 0 {
		i = len(p.zones)
		p.zones = append(p.zones, zone{name: p.stores[store].Zone})
	}
	p.zones[i].stores = append(p.zones[i].stores, store)
}

// zoneIndex returns the index of the zone of a store, -1 if the zone has no eligible stores.
func (p *plan) zoneIndex(store int) int {
	return slices.IndexFunc(p.zones, func(z zone) bool { return z.name == p.stores[store].Zone })
}

// addLoad adds to the number of partitions that a store is assigned to. The count may be negative.
func (p *plan) addLoad(store, count int) {
	p.loads[store] += count
	p.invalidateOrder(store)
}

// addHeads adds to the number of partitions that a store is the head of. The count may be negative.
func (p *plan) addHeads(store, count int) {
	p.heads[store] += count
	p.invalidateOrder(store)
}

// invalidateOrder marks the zone of a store as not sorted.
func (p *plan) invalidateOrder(store int) {
	if i := p.zoneIndex(store); i >= 0 {
		p.zones[i].sorted = false
	}
}

// compareLoads orders stores by their loads, then by the numbers of partitions that they are the head of, then by index.
func (p *plan) compareLoads(a, b int) int {
	return cmp.Or(cmp.Compare(p.loads[a], p.loads[b]), cmp.Compare(p.heads[a], p.heads[b]), cmp.Compare(a, b))
}

// leastLoaded returns the first store of a zone in the order of compareLoads that is neither assigned nor excluded, noStore if
// there is none.
func (p *plan) leastLoaded(z *zone, assigned []int, excluded int) int {
	if !z.sorted {
		slices.SortFunc(z.stores, p.compareLoads)
		z.sorted = true
	}
	for _, store := range z.stores {
		if store != excluded && !slices.Contains(assigned, store) {
			return store
		}
	}
	return noStore
}

// bestStore returns the store that should hold one more replica of a partition beside the assigned stores: the first in the
// order of compareLoads among those in the zones of lowest cost. It never returns the excluded store, and returns noStore if
// no other is left.
func (p *plan) bestStore(assigned []int, excluded int) int {
	best, lowestCost := noStore, 0
	for i := range p.zones {
		store := p.leastLoaded(&p.zones[i], assigned, excluded)
		if store == noStore {
			continue
		}
		cost := p.zoneCost(assigned, p.zones[i].name)
		if best == noStore || cost < lowestCost || cost == lowestCost && p.compareLoads(store, best) < 0 {
			best, lowestCost = store, cost
		}
	}
	return best
}

// zoneCost returns the cost of one more replica in a zone beside the assigned stores. It rises with the number of assigned
// stores in the zone or, if replicas are concentrated, falls with it.
func (p *plan) zoneCost(assigned []int, name string) int {
	count := p.countInZone(assigned, name)
	if p.policy.Concentrated {
		return -count
	}
	return count
}

// countInZone counts the assigned stores in a zone.
func (p *plan) countInZone(assigned []int, name string) int {
	count := 0
	for _, store := range assigned {
		if p.stores[store].Zone == name {
			count++
		}
	}
	return count
}
