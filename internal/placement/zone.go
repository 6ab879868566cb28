package placement

import (
	"cmp"
	"slices"
)

// zone is the stores of a zone that may hold partitions.
type zone struct {
	name   string
	stores []int
	// sorted tells that the stores are in order of their loads.
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

func (p *plan) zoneIndex(store int) int {
	return slices.IndexFunc(p.zones, func(z zone) bool { return z.name == p.stores[store].Zone })
}

// addLoad counts partitions that a store will hold, or will not hold any more.
func (p *plan) addLoad(store, count int) {
	p.loads[store] += count
	p.invalidateOrder(store)
}

// addHeads counts partitions whose head a store is, or is not any more.
func (p *plan) addHeads(store, count int) {
	p.heads[store] += count
	p.invalidateOrder(store)
}

func (p *plan) invalidateOrder(store int) {
	if i := p.zoneIndex(store); i >= 0 {
		p.zones[i].sorted = false
	}
}

// compareLoads orders stores by their loads, then by the numbers of partitions whose heads they are.
func (p *plan) compareLoads(a, b int) int {
	return cmp.Or(cmp.Compare(p.loads[a], p.loads[b]), cmp.Compare(p.heads[a], p.heads[b]), cmp.Compare(a, b))
}

// leastLoaded gives the store of a zone with the lowest load that is neither among the holders nor left out.
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

// bestStore gives the store that should hold a partition beside the holders: one in the zone that suits them best, with a
// low load, and with a low count of heads. One store is left out. It is none if no other is left.
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

// zoneCost tells how ill a zone suits one more replica beside the holders: it grows with how many of them are there, or
// falls where replicas are concentrated.
func (p *plan) zoneCost(assigned []int, name string) int {
	count := p.countInZone(assigned, name)
	if p.policy.Concentrated {
		return -count
	}
	return count
}

// inZone counts the holders in a zone.
func (p *plan) countInZone(assigned []int, name string) int {
	count := 0
	for _, store := range assigned {
		if p.stores[store].Zone == name {
			count++
		}
	}
	return count
}
