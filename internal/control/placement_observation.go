package control

import (
	"net/netip"
	"slices"
	"time"

	"nickelline/internal/member"
	"nickelline/internal/placement"
	"nickelline/internal/view"
)

// observeStores describes the stores by membership and their reports, and drops expired reports.
func (c *placementController) observeStores(state *State, now time.Time) []placement.Store {
	var stores []placement.Store
	for _, m := range c.members.Table().All() {
		if m.Role == storeRole && m.Replica != 0 {
			stores = append(stores, c.observeStore(state, &m, now))
		}
	}
	c.reports.expire(now.Add(-c.timing.reportTimeout))
	return stores
}

// observeStore describes one store. A running store without a recent report counts as alive until this node has been the head
// for timing.reportTimeout.
func (c *placementController) observeStore(state *State, m *member.Member, now time.Time) placement.Store {
	chains, recent := c.reports.recent(m.Replica, now.Add(-c.timing.reportTimeout))
	waitedForReports := now.Sub(c.headSince) >= c.timing.reportTimeout
	store := placement.Store{
		Member:   view.Member{Replica: view.ReplicaID(m.Replica), Name: m.Name, Zone: m.Zone, Address: m.Address},
		Alive:    m.Running() && (recent || !waitedForReports),
		Leaving:  m.Leaving,
		Retiring: state.Retired(Store{Name: m.Name, Replica: m.Replica}),
	}
	for _, chain := range chains {
		store.Progress = append(store.Progress, placement.Progress(chain))
	}
	return store
}

// knowsStores reports whether this node knows enough about the stores to change the placement. A new head waits until each
// store in the table has reported or is known to be down, but no longer than timing.stabilization.
func (c *placementController) knowsStores(now time.Time, table placement.Table, stores []placement.Store) bool {
	if now.Sub(c.headSince) >= c.timing.stabilization {
		return true
	}
	known := map[view.ReplicaID]bool{}
	reporting := map[netip.AddrPort]bool{}
	for i := range stores {
		known[stores[i].Replica] = len(stores[i].Progress) > 0 || !stores[i].Alive
		if _, recent := c.reports.recent(uint64(stores[i].Replica), now.Add(-c.timing.reportTimeout)); recent {
			reporting[stores[i].Address] = true
		}
	}
	for _, partition := range table.Partitions {
		for _, m := range partition.View.Members {
			// If a store at the address of an unlisted replica reports as another replica, the unlisted one has lost its disk.
			isReplaced := reporting[m.Address] && !isListed(stores, m.Replica)
			if !known[m.Replica] && !isReplaced {
				return false
			}
		}
	}
	return true
}

// isListed reports whether a replica is among the stores.
func isListed(stores []placement.Store, replica view.ReplicaID) bool {
	return slices.ContainsFunc(stores, func(s placement.Store) bool { return s.Replica == replica })
}
