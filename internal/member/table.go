package member

import (
	"net/netip"
	"slices"
)

// Table is an immutable list of members, sorted by address. The slices that it returns are shared: they must not be
// changed.
type Table struct {
	all     []Member
	running []Member
	byRole  map[string][]Member
}

// NewTable returns a table of the given members, in any order. It copies them.
func NewTable(members ...Member) *Table {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return compareAddress(a.Address, b.Address) })
	return newTable(sorted)
}

// newTable returns a table of members, which must be sorted by address. The table takes ownership of the slice.
func newTable(members []Member) *Table {
	running := 0
	runningByRole := make(map[string]int)
	for i := range members {
		if members[i].Running() {
			running++
			runningByRole[members[i].Role]++
		}
	}
	t := &Table{
		all:     members,
		running: members,
		byRole:  make(map[string][]Member, len(runningByRole)),
	}
	for role, count := range runningByRole {
		t.byRole[role] = make([]Member, 0, count)
	}
	if running < len(members) {
		t.running = slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !m.Running() })
	}
	for i := range t.running {
		role := t.running[i].Role
		t.byRole[role] = append(t.byRole[role], t.running[i])
	}
	return t
}

// All returns the members in all states. Those that died or left long ago are not among them.
func (t *Table) All() []Member { return t.all }

// Running returns the members that are alive or suspect.
func (t *Table) Running() []Member { return t.running }

// ByRole returns the members with the role that are alive or suspect.
func (t *Table) ByRole(role string) []Member { return t.byRole[role] }

// Get returns the member with the address, in any state, and whether there is one.
func (t *Table) Get(address netip.AddrPort) (Member, bool) {
	i, found := slices.BinarySearchFunc(t.all, address, func(m Member, a netip.AddrPort) int {
		return compareAddress(m.Address, a)
	})
	if !found {
		return Member{}, false
	}
	return t.all[i], true
}

// InZone reports whether the member with the address is known, in any state, and is in the zone.
func (t *Table) InZone(address netip.AddrPort, zone string) bool {
	m, known := t.Get(address)
	return known && m.Zone == zone
}
