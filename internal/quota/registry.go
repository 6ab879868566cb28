package quota

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"
)

// Registry holds the processes that may have leases. It is part of the replicated control state.
type Registry interface {
	// Current returns the registry, with all changes that were committed before this node was proven to be the head.
	Current() RegistryState
	// Change commits a change and returns the registry after it. A change that fails may still be committed later, unless
	// another one is committed before it.
	Change(ctx context.Context, change RegistryChange) (RegistryState, error)
}

// RegistryState is the content of the registry at a revision.
type RegistryState struct {
	Revision     uint64
	Leaseholders []Leaseholder
}

// RegistryChange is a change of the registry at a revision, made by the allocator of an epoch. Once an allocator has
// made a change, even an empty one, all changes of former allocators fail.
type RegistryChange struct {
	Epoch, ExpectedRevision uint64
	// Add replaces former processes at the same addresses.
	Add    []Leaseholder
	Remove []Leaseholder
}

const (
	changeTimeout = 500 * time.Millisecond
	changePause   = 20 * time.Millisecond // after a failed change
)

// registryUpdater changes the registry for the allocator of a node: one change at a time, each for all processes that
// wait. Its fields are guarded by the mutex of the service.
type registryUpdater struct {
	service  *Service
	registry Registry
	running  bool
	waiting  map[netip.AddrPort]uint64 // processes to register, by address
	finished chan struct{}             // closed after the next change, and replaced
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

// startUpdates makes the changes that are due, in the background. The returned channel is closed after the next change.
// The caller holds the mutex.
func (r *registryUpdater) startUpdates() <-chan struct{} {
	if !r.running {
		r.running = true
		go r.run()
	}
	return r.finished
}

// run makes changes until none is due.
func (r *registryUpdater) run() {
	for {
		change, starts, due := r.next()
		if !due {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		after, err := r.registry.Change(ctx, change)
		cancel()
		r.finish(change, starts, after, err)
		if err != nil {
			time.Sleep(changePause)
		}
	}
}

// next returns the change to make, if any is due. The first one of an allocator is empty: it fences off former
// allocators, and the allocator starts after it.
func (r *registryUpdater) next() (change RegistryChange, starts, due bool) {
	s := r.service
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.headship.Fresh() {
		return r.stop()
	}
	change = RegistryChange{Epoch: s.headship.Epoch(), ExpectedRevision: r.registry.Current().Revision}
	allocator := s.activeAllocator()
	if allocator == nil {
		return change, true, true
	}
	for address, generation := range r.waiting {
		if h := (Leaseholder{Address: address, Generation: generation}); allocator.StatusOf(h) == Unregistered {
			change.Add = append(change.Add, h)
		}
	}
	r.waiting = nil
	change.Remove = allocator.TakeRemovable(time.Now())
	if len(change.Add)+len(change.Remove) == 0 {
		return r.stop()
	}
	return change, false, true
}

// stop ends the run and has those that wait look again. The caller holds the mutex.
func (r *registryUpdater) stop() (change RegistryChange, starts, due bool) {
	r.running = false
	r.waiting = nil
	r.notifyWaiting()
	return change, false, false
}

// notifyWaiting wakes all that wait for a change. The caller holds the mutex.
func (r *registryUpdater) notifyWaiting() {
	close(r.finished)
	r.finished = make(chan struct{})
}

// finish applies the outcome of a change.
func (r *registryUpdater) finish(change RegistryChange, starts bool, after RegistryState, err error) {
	s := r.service
	s.mutex.Lock()
	defer s.mutex.Unlock()
	defer r.notifyWaiting()
	switch {
	case err != nil:
		s.log.Info("change quota registry failed", zap.Uint64("epoch", change.Epoch), zap.Error(err))
	case starts:
		s.startAllocator(time.Now(), change.Epoch, after.Leaseholders)
	case s.allocator != nil:
		s.allocator.SetRegistered(time.Now(), after.Leaseholders)
	}
}
