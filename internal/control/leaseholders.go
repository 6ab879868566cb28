package control

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"

	"nickelline/internal/fault"
)

// Leaseholder is a proxy process, which may hold quota leases. Generation tells it from others at its address.
type Leaseholder struct {
	Address    netip.AddrPort
	Generation uint64
}

// Holders changes the set of proxies that may hold quota leases. The allocator of an epoch of the control chain proposes
// it, with the revision of the set on which it builds. An earlier allocator can change nothing once a later one has made
// a change, even an empty one.
type ChangeLeaseholders struct {
	Epoch            uint64
	ExpectedRevision uint64
	// Add lists processes that may hold leases from now on, each in place of a former generation at its address.
	Add []Leaseholder
	// Remove lists processes that hold none any more.
	Remove []Leaseholder
}

// HolderSet is the set of proxies that may hold quota leases.
type LeaseholderSet struct {
	// Epoch is that of the allocator that has changed the set last, and Revision counts the changes.
	Epoch, Revision uint64
	// Members stand in the order of their addresses, one for each.
	Members []Leaseholder
}

// holders applies a change of the set of holders.
func (m *Machine) changeLeaseholders(request *ChangeLeaseholders) Result {
	state := m.State()
	current := &state.Leaseholders
	if request.Epoch < current.Epoch {
		text := fmt.Sprintf("an allocator of epoch %d has begun", current.Epoch)
		return Result{Outcome: VersionMismatch, Version: current.Revision, Text: text}
	}
	if request.ExpectedRevision != current.Revision {
		text := fmt.Sprintf("revision %d of the holders is current, not %d", current.Revision, request.ExpectedRevision)
		return Result{Outcome: VersionMismatch, Version: current.Revision, Text: text}
	}
	next := state.withLeaseholders(current.changed(request))
	m.state.Store(next)
	return Result{Outcome: Accepted, Version: next.Leaseholders.Revision}
}

// changed gives the set after a change.
func (s *LeaseholderSet) changed(change *ChangeLeaseholders) LeaseholderSet {
	members := slices.DeleteFunc(slices.Clone(s.Members), func(member Leaseholder) bool {
		return slices.Contains(change.Remove, member)
	})
	for _, added := range change.Add {
		members = insertLeaseholder(members, added)
	}
	return LeaseholderSet{Epoch: change.Epoch, Revision: s.Revision + 1, Members: members}
}

// withHolder puts a holder into a sorted list, in place of one with the same address.
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

// withHolders gives a state with another set of holders.
func (s *State) withLeaseholders(leaseholders LeaseholderSet) *State {
	next := *s
	next.Leaseholders = leaseholders
	return &next
}

// ChangeHolders has a change of the set of holders committed and gives the set after it. After an error of another kind
// than fault.VersionConflict the change may still be made later, unless another one is made before it.
func (c *Control) ChangeLeaseholders(ctx context.Context, change *ChangeLeaseholders) (LeaseholderSet, error) {
	if c.service == nil {
		return LeaseholderSet{}, fault.New(fault.NotReady, "this node keeps no replica")
	}
	result, err := c.service.proposeOnce(ctx, &Command{ChangeLeaseholders: change})
	if err != nil {
		return LeaseholderSet{}, err
	}
	leaseholders := c.machine.State().Leaseholders
	if leaseholders.Revision != result.Version {
		return LeaseholderSet{}, fault.New(fault.NotReady, "the holders are at revision %d here, not %d", leaseholders.Revision, result.Version)
	}
	return leaseholders, nil
}

// proposeOnce has a command applied and gives its result, without trying again.
func (s *service) proposeOnce(ctx context.Context, command *Command) (Result, error) {
	encoded, err := EncodeCommand(command)
	if err != nil {
		return Result{}, err
	}
	reply, err := s.replica.Propose(ctx, encoded)
	if err != nil {
		return Result{}, err
	}
	result, err := DecodeResult(reply)
	if err != nil {
		return Result{}, err
	}
	return result, result.Err()
}
