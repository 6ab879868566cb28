package quota

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"
)

// Registry is the register of the lives that may hold leases, a part of the control state.
type Registry interface {
	// Current gives the register with all changes that were committed before the headship of this node was proven.
	Current() RegistryState
	// Change commits a change and gives the register after it. A change that fails may still be made later, unless another
	// one is made before it.
	Change(ctx context.Context, c RegistryChange) (RegistryState, error)
}

// RegistryState is the register after some change.
type RegistryState struct {
	Revision     uint64
	Leaseholders []Leaseholder
}

// RegistryChange is a change that the allocator of an epoch makes to the register at a revision. Once an allocator has
// made a change, also an empty one, former ones can make none.
type RegistryChange struct {
	Epoch, ExpectedRevision uint64
	// Add holds lives that take the place of former ones at their addresses.
	Add    []Leaseholder
	Remove []Leaseholder
}

const (
	changeTimeout = 500 * time.Millisecond
	changePause   = 20 * time.Millisecond // after a change that failed
)

// registryUpdater changes the register for the allocator of a node: one change at a time, each for all lives that wait. Its
// fields are guarded by the lock of the service.
type registryUpdater struct {
	service  *Service
	registry Registry
	running  bool
	waiting  map[netip.AddrPort]uint64 // lives, by address
	finished chan struct{}             // closed after the next change
}

// register has a life registered. The channel that it gives is closed after the next change. The caller holds the lock.
func (r *registryUpdater) register(h Leaseholder) <-chan struct{} {
	if r.waiting == nil {
		r.waiting = make(map[netip.AddrPort]uint64)
	}
	r.waiting[h.Address] = h.Life
	return r.startUpdates()
}

// startUpdates has changes made if there are any to make. The caller holds the lock.
func (r *registryUpdater) startUpdates() <-chan struct{} {
	if !r.running {
		r.running = true
		go r.run()
	}
	return r.finished
}

// run makes changes until there are none to make.
func (r *registryUpdater) run() {
	for {
		change, begins, any := r.next()
		if !any {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		after, err := r.registry.Change(ctx, change)
		cancel()
		r.finish(change, begins, after, err)
		if err != nil {
			time.Sleep(changePause)
		}
	}
}

// next gives the change to make. The first one of an allocator is empty: it shuts out former allocators, and after it
// the allocator begins.
func (r *registryUpdater) next() (c RegistryChange, begins, any bool) {
	s := r.service
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.headship.Fresh() {
		return r.stop()
	}
	c = RegistryChange{Epoch: s.headship.Epoch(), ExpectedRevision: r.registry.Current().Revision}
	allocator := s.activeAllocator()
	if allocator == nil {
		return c, true, true
	}
	for address, life := range r.waiting {
		if h := (Leaseholder{Address: address, Life: life}); allocator.StatusOf(h) == Unregistered {
			c.Add = append(c.Add, h)
		}
	}
	r.waiting = nil
	c.Remove = allocator.TakeRemovable(time.Now())
	if len(c.Add)+len(c.Remove) == 0 {
		return r.stop()
	}
	return c, false, true
}

// stop ends the run and lets those that wait look again. The caller holds the lock.
func (r *registryUpdater) stop() (c RegistryChange, begins, any bool) {
	r.running = false
	r.waiting = nil
	r.notifyWaiting()
	return c, false, false
}

func (r *registryUpdater) notifyWaiting() {
	close(r.finished)
	r.finished = make(chan struct{})
}

// finish takes over the register after a change.
func (r *registryUpdater) finish(c RegistryChange, begins bool, after RegistryState, err error) {
	s := r.service
	s.mutex.Lock()
	defer s.mutex.Unlock()
	defer r.notifyWaiting()
	switch {
	case err != nil:
		s.log.Info("register of quota holders not changed", zap.Uint64("epoch", c.Epoch), zap.Error(err))
	case begins:
		s.startAllocator(time.Now(), c.Epoch, after.Leaseholders)
	case s.allocator != nil:
		s.allocator.SetRegistered(time.Now(), after.Leaseholders)
	}
}
