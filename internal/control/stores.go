package control

import (
	"slices"
	"time"

	"nickelline/internal/member"
	"nickelline/internal/placement"
	"nickelline/internal/view"
)

// Roles of processes, as their settings and the table of members name them.
const (
	controlRole = "control"
	storeRole   = "store"
)

// membership provides the table of members. It is implemented by *member.Service.
type membership interface {
	Table() *member.Table
}

// storeDirectory lists the stores of the system, from the table of members and from the placement.
type storeDirectory struct {
	members membership
	machine *Machine
	// completeFrom is the time from which the list is complete, so that a store that is not in it does not exist.
	completeFrom time.Time
	now          func() time.Time
}

// Stores implements storeLister.
func (d *storeDirectory) Stores() (known, usable []Store, complete bool) {
	table := decodePlacement(d.machine.State())
	for _, m := range d.members.Table().All() {
		if m.Role != storeRole {
			continue
		}
		store := Store{Name: m.Name, Replica: m.Replica}
		known = append(known, store)
		if canHoldData(&m, table) {
			usable = append(usable, store)
		}
	}
	known = appendPlacedStores(known, table)
	return known, usable, !d.now().Before(d.completeFrom)
}

// canHoldData reports whether a store can be relied on to hold data later: it is running, or the placement names it, so that it
// will return with its data.
func canHoldData(m *member.Member, table placement.Table) bool {
	if m.Replica == 0 || m.Leaving {
		return false
	}
	return m.Running() || table.References(view.ReplicaID(m.Replica))
}

// appendPlacedStores appends the stores that the placement names and that are not in the list.
func appendPlacedStores(known []Store, table placement.Table) []Store {
	for _, partition := range table.Partitions {
		for _, m := range slices.Concat(partition.View.Members, partition.Learners) {
			if _, found := findStore(known, m.Name); !found {
				known = append(known, Store{Name: m.Name, Replica: uint64(m.Replica)})
			}
		}
	}
	return known
}

// decodePlacement decodes the placement of a state. A placement that cannot be decoded counts as empty, as callers only list
// its contents.
func decodePlacement(state *State) placement.Table {
	table, err := placement.Decode(state.Placement)
	if err != nil {
		return placement.Table{}
	}
	return table
}
