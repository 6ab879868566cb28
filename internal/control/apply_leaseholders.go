package control

import (
	"cmp"
	"fmt"
	"slices"
)

// changeLeaseholders changes the set of leaseholders by compare-and-swap, and refuses changes by allocators of earlier epochs.
func (m *Machine) changeLeaseholders(request *ChangeLeaseholders) Result {
	state := m.State()
	current := &state.Leaseholders
	if request.Epoch < current.Epoch {
		text := fmt.Sprintf("an allocator of epoch %d has begun", current.Epoch)
		return Result{Outcome: VersionMismatch, Version: current.Revision, Text: text}
	}
	if request.ExpectedRevision != current.Revision {
		text := fmt.Sprintf("revision %d of the leaseholders is current, not %d", current.Revision, request.ExpectedRevision)
		return Result{Outcome: VersionMismatch, Version: current.Revision, Text: text}
	}
	next := state.withLeaseholders(current.withChange(request))
	m.state.Store(next)
	return Result{Outcome: Accepted, Version: next.Leaseholders.Revision}
}

// withChange returns the set after a change.
func (s *LeaseholderSet) withChange(change *ChangeLeaseholders) LeaseholderSet {
	members := slices.DeleteFunc(slices.Clone(s.Members), func(member Leaseholder) bool {
		return slices.Contains(change.Remove, member)
	})
	former := slices.Clone(s.Former)
	for _, added := range change.Add {
		if i, found := slices.BinarySearchFunc(members, added, compareAddresses); found && members[i] != added {
			former = appendFormer(former, members[i])
		}
		members = insertLeaseholder(members, added)
	}
	return LeaseholderSet{
		Epoch:    change.Epoch,
		Revision: s.Revision + 1,
		Members:  members,
		Former:   former,
		Reserves: s.reservesAfter(change),
	}
}

// maxFormerPerAddress is how many former processes are remembered for each address. It must be the same at all replicas, as
// the state depends on it.
const maxFormerPerAddress = 3

// appendFormer appends a process that was replaced, and drops the oldest one of its address if there are too many.
func appendFormer(former []Leaseholder, replaced Leaseholder) []Leaseholder {
	isAtAddress := func(l Leaseholder) bool { return l.Address == replaced.Address }
	count := 0
	for _, l := range former {
		if isAtAddress(l) {
			count++
		}
	}
	if count >= maxFormerPerAddress {
		oldest := slices.IndexFunc(former, isAtAddress)
		former = slices.Delete(former, oldest, oldest+1)
	}
	return append(former, replaced)
}

// reservesAfter returns the tenants whose reserves are kept after a change, sorted.
func (s *LeaseholderSet) reservesAfter(change *ChangeLeaseholders) []string {
	var reserves []string
	if !change.SpendAll {
		reserves = slices.DeleteFunc(slices.Clone(s.Reserves), func(tenant string) bool {
			return slices.Contains(change.Spend, tenant)
		})
	}
	for _, tenant := range change.Keep {
		if i, found := slices.BinarySearch(reserves, tenant); !found {
			reserves = slices.Insert(reserves, i, tenant)
		}
	}
	return reserves
}

// insertLeaseholder inserts a leaseholder into a sorted list, or replaces the one with the same address.
func insertLeaseholder(members []Leaseholder, added Leaseholder) []Leaseholder {
	i, found := slices.BinarySearchFunc(members, added, compareAddresses)
	if found {
		members[i] = added
		return members
	}
	return slices.Insert(members, i, added)
}

func compareAddresses(a, b Leaseholder) int {
	return cmp.Or(a.Address.Addr().Compare(b.Address.Addr()), cmp.Compare(a.Address.Port(), b.Address.Port()))
}
