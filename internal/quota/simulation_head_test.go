package quota

import (
	"net/netip"
	"time"
)

// simulatedRegistry is the registry that the control chain replicates.
type simulatedRegistry struct {
	current RegistryState
}

// commit applies a change. It reports false, and changes nothing, if the epoch or the revision is out of date.
func (r *simulatedRegistry) commit(change RegistryChange) bool {
	if change.Epoch < r.current.Epoch || change.ExpectedRevision != r.current.Revision {
		return false
	}
	r.current = RegistryState{
		Epoch:        change.Epoch,
		Revision:     r.current.Revision + 1,
		Leaseholders: changedMembers(r.current.Leaseholders, change),
		Former:       changedFormer(r.current, change),
		Reserves:     changedReserves(r.current.Reserves, change),
	}
	return true
}

// simulatedHead is a control node that considers itself the head of the chain.
type simulatedHead struct {
	s           *simulation
	epoch       uint64
	allocator   *Allocator
	stopped     bool
	partitioned bool // from the other control nodes
	changing    bool
	inherited   *inheritedReserves
	waiting     map[netip.AddrPort]uint64
	deferred    []func() // handle renewals that wait for a change of the registry
}

// startHead starts a new head in an epoch.
func (s *simulation) startHead(epoch uint64) *simulatedHead {
	h := &simulatedHead{s: s, epoch: epoch, waiting: map[netip.AddrPort]uint64{}}
	s.heads = append(s.heads, h)
	h.change()
	return h
}

// stopHeads stops all heads that are older than the given one, or all heads if it is nil.
func (s *simulation) stopHeads(newest *simulatedHead) {
	for len(s.heads) > 0 && s.heads[0] != newest {
		s.heads[0].stopped = true
		s.heads = s.heads[1:]
	}
}

// failOver replaces the head. With a gap, the old head stops and the new one starts after the gap. Without a gap, both
// consider themselves the head until the overlap has passed.
func (s *simulation) failOver(at, gap, overlap time.Duration) {
	if gap > 0 {
		s.clock.At(at, func() { s.stopHeads(nil) })
	}
	s.clock.At(at+gap, func() {
		for _, h := range s.heads {
			h.partitioned = true
		}
		s.epoch++
		newest := s.startHead(s.epoch)
		s.clock.After(overlap, func() { s.stopHeads(newest) })
	})
}

// restartHead kills the head and starts a head in the same epoch after the given time.
func (s *simulation) restartHead(at, down time.Duration) {
	s.clock.At(at, func() { s.stopHeads(nil) })
	s.clock.At(at+down, func() { s.startHead(s.epoch) })
}

// receive answers a renewal once the allocator has started and the proxy is registered.
func (h *simulatedHead) receive(from Leaseholder, renewal *Renewal, reply func(*renewalAnswer)) {
	switch {
	case h.stopped:
		return
	case renewal.Epoch > h.epoch:
		reply(&renewalAnswer{moved: true})
		return
	case h.allocator == nil:
		h.afterChange(func() { h.receive(from, renewal, reply) })
		return
	case h.allocator.StatusOf(from) == Unregistered:
		h.waiting[from.Address] = from.Generation
		h.afterChange(func() { h.receive(from, renewal, reply) })
		return
	}
	grants, err := h.allocator.Renew(h.s.now(), from, renewal)
	if err != nil {
		return
	}
	if h.allocator.HasRemovable() || h.allocator.HasReserveChanges() {
		h.change()
	}
	reply(&renewalAnswer{epoch: h.epoch, mustReclaim: !h.allocator.HasReclaimed(from), grants: grants})
}

func (h *simulatedHead) afterChange(run func()) {
	h.deferred = append(h.deferred, run)
	h.change()
}

// change proposes the next change of the registry. Some changes are committed without a confirmation to the head.
func (h *simulatedHead) change() {
	if h.changing || h.stopped {
		return
	}
	startsAllocator := h.allocator == nil
	change := RegistryChange{Epoch: h.epoch, ExpectedRevision: h.s.registry.current.Revision}
	if startsAllocator {
		change.SpendAll = true
		h.inherited = inheritedReservesOf(h.inherited, h.epoch, h.s.registry.current)
	} else {
		change.Add, change.Remove = h.changes()
		change.Keep, change.Spend = h.allocator.TakeReserveChanges()
	}
	if change.isEmpty() {
		return
	}
	h.changing = true
	h.s.clock.After(5*h.s.messageDelay(), func() {
		committed := !h.partitioned && h.s.registry.commit(change)
		after := h.s.registry.current
		confirmed := committed && h.s.random.IntN(20) > 0
		h.s.clock.After(2*h.s.messageDelay(), func() { h.finish(startsAllocator, confirmed, after) })
	})
}

// changes returns the processes to add and to remove.
func (h *simulatedHead) changes() (added, removed []Leaseholder) {
	for address, generation := range h.waiting {
		if leaseholder := (Leaseholder{Address: address, Generation: generation}); h.allocator.StatusOf(leaseholder) == Unregistered {
			added = append(added, leaseholder)
		}
	}
	clear(h.waiting)
	return added, h.allocator.TakeRemovable(h.s.now())
}

// finish applies the registry after a confirmed change, or schedules a retry.
func (h *simulatedHead) finish(startsAllocator, confirmed bool, after RegistryState) {
	h.changing = false
	switch {
	case h.stopped:
		return
	case !confirmed:
		h.s.clock.After(changePause, h.retry)
		return
	case startsAllocator:
		h.allocator = NewAllocator(h.s.policy, h.s.limitOf, after, h.inherited.reserves, h.s.now())
		h.announce()
	default:
		h.allocator.SetRegistered(h.s.now(), after.Leaseholders)
		h.allocator.SetReserves(after.Reserves)
	}
	h.runDeferred()
}

// retry continues after a change that failed.
func (h *simulatedHead) retry() {
	if h.allocator == nil {
		h.change()
		return
	}
	h.runDeferred()
}

func (h *simulatedHead) runDeferred() {
	later := h.deferred
	h.deferred = nil
	for _, run := range later {
		run()
	}
}

// announce sends announcements of the allocator to proxies until they have reclaimed their leases.
func (h *simulatedHead) announce() {
	addresses := h.allocator.Unreclaimed(h.s.now())
	if h.stopped || len(addresses) == 0 {
		return
	}
	for _, p := range h.s.proxies {
		for _, address := range addresses {
			if p.address == address {
				h.s.clock.After(h.s.messageDelay(), func() { p.follow(h.epoch) })
			}
		}
	}
	h.s.clock.After(announceInterval, h.announce)
}
