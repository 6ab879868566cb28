package quota

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"
)

// Registry lists the processes that may hold leases, and the tenants whose reserves are kept. It is part of the replicated
// control state.
type Registry interface {
	// Current returns the registry with all changes that were committed before this node was proven to be the head.
	Current() RegistryState
	// Change commits a change and returns the registry after it. A change that fails may still be committed later, unless
	// another change is committed before it.
	Change(ctx context.Context, change RegistryChange) (RegistryState, error)
}

// RegistryState is the content of the registry at a revision.
type RegistryState struct {
	// Epoch is the epoch of the allocator that made the latest change.
	Epoch, Revision uint64
	Leaseholders    []Leaseholder
	// Former are processes that were replaced by other processes at their addresses.
	Former []Leaseholder
	// Reserves are the tenants whose reserves are kept.
	Reserves []string
}

// RegistryChange is a change of the registry at a revision, made by the allocator of an epoch. Once an allocator has
// made a change, even an empty one, all changes of former allocators fail.
type RegistryChange struct {
	Epoch, ExpectedRevision uint64
	// Add replaces former processes at the same addresses.
	Add    []Leaseholder
	Remove []Leaseholder
	// Keep and Spend are the tenants whose reserves are recorded as kept and as spent. SpendAll records all reserves as
	// spent before that.
	SpendAll    bool
	Keep, Spend []string
}

func (c *RegistryChange) isEmpty() bool {
	return len(c.Add)+len(c.Remove)+len(c.Keep)+len(c.Spend) == 0 && !c.SpendAll
}

const (
	changeTimeout = 500 * time.Millisecond
	changePause   = 20 * time.Millisecond // between a failed change and the next one
)

// registryUpdater changes the registry for the allocator of a node. It makes one change at a time, each for all processes
// that wait to be registered. Its fields are guarded by the mutex of the service.
type registryUpdater struct {
	service   *Service
	registry  Registry
	running   bool
	waiting   map[netip.AddrPort]uint64 // processes to register, by address
	changed   chan struct{}             // closed after the next change, and replaced
	inherited *inheritedReserves        // reserves for the allocator that the latest change with startsAllocator was to start
}

// register adds a process to the next change. The returned channel is closed after that change. The caller holds the
// mutex.
func (r *registryUpdater) register(h Leaseholder) <-chan struct{} {
	if r.waiting == nil {
		r.waiting = make(map[netip.AddrPort]uint64)
	}
	r.waiting[h.Address] = h.Generation
	return r.startUpdates()
}

// startUpdates makes the due changes in the background. The returned channel is closed after the next change, or when no
// change is due. The caller holds the mutex.
func (r *registryUpdater) startUpdates() <-chan struct{} {
	if !r.running {
		r.running = true
		go r.run()
	}
	return r.changed
}

// plannedChange is a change that is due.
type plannedChange struct {
	RegistryChange
	// startsAllocator is set for the first change of an allocator, which starts once the change is committed.
	startsAllocator bool
}

// run makes changes until none is due or the node is not the head. A failed change is retried after changePause.
func (r *registryUpdater) run() {
	for {
		change := r.next()
		if change == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		after, err := r.registry.Change(ctx, change.RegistryChange)
		cancel()
		r.finish(change, after, err)
		if err != nil {
			time.Sleep(changePause)
		}
	}
}

// next returns the next change to make, or nil if none is due or the node is not the head. The first change of an allocator
// fences off former allocators and takes over the reserves, and the allocator starts after it.
func (r *registryUpdater) next() *plannedChange {
	s := r.service
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.headStatus.Fresh() {
		r.stop()
		return nil
	}
	change := &plannedChange{}
	current := r.registry.Current()
	change.Epoch = s.headStatus.Epoch()
	change.ExpectedRevision = current.Revision
	allocator := s.activeAllocator()
	if allocator == nil {
		r.inherited = inheritedReservesOf(r.inherited, change.Epoch, current)
		change.startsAllocator = true
		change.SpendAll = true
		return change
	}
	change.Add = r.takeUnregistered(allocator)
	change.Remove = allocator.TakeRemovable(time.Now())
	change.Keep, change.Spend = allocator.TakeReserveChanges()
	if change.isEmpty() {
		r.stop()
		return nil
	}
	return change
}

// takeUnregistered removes the waiting processes and returns those that are not registered yet. The caller holds the mutex.
func (r *registryUpdater) takeUnregistered(allocator *Allocator) []Leaseholder {
	var unregistered []Leaseholder
	for address, generation := range r.waiting {
		process := Leaseholder{Address: address, Generation: generation}
		if allocator.StatusOf(process) == Unregistered {
			unregistered = append(unregistered, process)
		}
	}
	r.waiting = nil
	return unregistered
}

// stop records that run ends, and wakes the waiting renewals, which then check the state again. The caller holds the mutex.
func (r *registryUpdater) stop() {
	r.running = false
	r.waiting = nil
	r.notifyWaiting()
}

// notifyWaiting wakes all renewals that wait for a change. The caller holds the mutex.
func (r *registryUpdater) notifyWaiting() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// finish applies the outcome of a change to the service and wakes the waiting renewals.
func (r *registryUpdater) finish(change *plannedChange, after RegistryState, err error) {
	s := r.service
	s.mutex.Lock()
	defer s.mutex.Unlock()
	defer r.notifyWaiting()
	switch {
	case err != nil:
		s.log.Info("change quota registry failed", zap.Uint64("epoch", change.Epoch), zap.Error(err))
	case change.startsAllocator:
		s.startAllocator(time.Now(), change.Epoch, after, r.inherited.reserves)
	case s.allocator != nil:
		s.allocator.SetRegistered(time.Now(), after.Leaseholders)
		s.allocator.SetReserves(after.Reserves)
	}
}
