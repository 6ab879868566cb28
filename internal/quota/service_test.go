package quota

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"

	"nickelline/internal/fault"
	"nickelline/internal/peer"
)

// fakeHead is a HeadStatus whose values the test sets.
type fakeHead struct {
	fresh atomic.Bool
	epoch atomic.Uint64
	head  netip.AddrPort
}

func (h *fakeHead) Fresh() bool { return h.fresh.Load() }

func (h *fakeHead) Epoch() uint64 { return h.epoch.Load() }

func (h *fakeHead) Head() (netip.AddrPort, bool) { return h.head, h.head.IsValid() }

// fakeRegistry is a Registry that commits changes immediately, or fails with fault if that is set.
type fakeRegistry struct {
	mutex   sync.Mutex
	epoch   uint64
	current RegistryState
	fault   error
}

func (r *fakeRegistry) Current() RegistryState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.current
}

func (r *fakeRegistry) Change(_ context.Context, change RegistryChange) (RegistryState, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.fault != nil {
		return RegistryState{}, r.fault
	}
	if change.Epoch < r.epoch || change.ExpectedRevision != r.current.Revision {
		return RegistryState{}, fault.New(fault.VersionConflict, "revision %d", r.current.Revision)
	}
	r.epoch = change.Epoch
	r.current.Epoch = change.Epoch
	r.current.Revision++
	r.current.Former = changedFormer(r.current, change)
	r.current.Reserves = changedReserves(r.current.Reserves, change)
	r.current.Leaseholders = changedMembers(r.current.Leaseholders, change)
	return r.current, nil
}

// changedMembers applies a change to the leaseholders of a registry.
func changedMembers(members []Leaseholder, change RegistryChange) []Leaseholder {
	var changed []Leaseholder
	for _, m := range members {
		replaced := slices.ContainsFunc(change.Add, func(added Leaseholder) bool { return added.Address == m.Address })
		if !replaced && !slices.Contains(change.Remove, m) {
			changed = append(changed, m)
		}
	}
	return append(changed, change.Add...)
}

// changedFormer adds the processes that a change replaces to the former ones of a registry.
func changedFormer(current RegistryState, change RegistryChange) []Leaseholder {
	former := slices.Clone(current.Former)
	for _, m := range current.Leaseholders {
		replaces := func(added Leaseholder) bool { return added.Address == m.Address && added.Generation != m.Generation }
		if slices.ContainsFunc(change.Add, replaces) {
			former = append(former, m)
		}
	}
	return former
}

// changedReserves applies a change to the reserves of a registry.
func changedReserves(kept []string, change RegistryChange) []string {
	var changed []string
	for _, tenant := range kept {
		if !change.SpendAll && !slices.Contains(change.Spend, tenant) && !slices.Contains(change.Keep, tenant) {
			changed = append(changed, tenant)
		}
	}
	return append(changed, change.Keep...)
}

func startTransport(t *testing.T) *peer.Transport {
	t.Helper()
	transport, err := peer.Listen(netip.MustParseAddrPort("127.0.0.1:0"), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(transport.Close)
	return transport
}

func newControlNode(t *testing.T, h *fakeHead, l Limit) (*peer.Transport, *Service) {
	t.Helper()
	transport := startTransport(t)
	return transport, newServiceAt(t, transport, h, &fakeRegistry{}, l)
}

func newServiceAt(t *testing.T, transport *peer.Transport, h *fakeHead, r Registry, l Limit) *Service {
	t.Helper()
	s := NewService(testPolicy, h, r, oneLimit(l), nil, transport, zap.NewNop())
	transport.Start()
	return s
}

// activate starts the allocator of a service whose node is the head, and waits for it.
func activate(t *testing.T, s *Service) {
	t.Helper()
	for range 1000 {
		s.mutex.Lock()
		active := s.activeAllocator() != nil
		var changed <-chan struct{}
		if !active {
			changed = s.updater.startUpdates()
		}
		s.mutex.Unlock()
		if active {
			return
		}
		<-changed
	}
	t.Fatal("allocator was not started")
}

// allocatorOf returns the allocator of a service.
func allocatorOf(s *Service) *Allocator {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.allocator
}

// endGrace ends the grace period of a service's allocator.
func endGrace(t *testing.T, s *Service) {
	t.Helper()
	activate(t, s)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.allocator.graceEndsAt = s.allocator.graceEndsAt.Add(-2 * testPolicy.Lease)
}

func TestHeadThatStaysKeepsItsLeases(t *testing.T) {
	head := &fakeHead{}
	head.fresh.Store(true)
	head.epoch.Store(3)
	_, service := newControlNode(t, head, Limit{Rate: 10})
	activate(t, service)
	first := allocatorOf(service)
	service.ObserveView(4, true)
	head.epoch.Store(4)
	activate(t, service)
	if allocatorOf(service) != first {
		t.Error("node remains head: got a new allocator, want the same")
	}
	head.epoch.Store(6)
	activate(t, service)
	if allocatorOf(service) == first {
		t.Error("another head in between: got the same allocator, want a new one")
	}
	service.ObserveView(7, false)
	if allocatorOf(service) != nil {
		t.Error("node is not the head any more: got an allocator, want none")
	}
}

func TestHeadActivatesWithoutARequest(t *testing.T) {
	head := &fakeHead{}
	_, service := newControlNode(t, head, Limit{Rate: 10})
	activateOnce(service)
	if allocatorOf(service) != nil {
		t.Error("without proof of being head: got an allocator, want none")
	}
	head.fresh.Store(true)
	for tries := 0; tries < 100 && allocatorOf(service) == nil; tries++ {
		activateOnce(service)
	}
	if allocatorOf(service) == nil {
		t.Error("with proof of being head: got no allocator, want one")
	}
}

// activateOnce makes a service look once for a proof that its node is the head, and waits for the outcome.
func activateOnce(s *Service) {
	s.mutex.Lock()
	changed := s.updater.changed
	s.mutex.Unlock()
	s.activate(1)
	<-changed
}

func TestAllocatorDoesNotStartWithoutTheRegistry(t *testing.T) {
	head := &fakeHead{}
	head.fresh.Store(true)
	registry := &fakeRegistry{fault: fault.New(fault.NotReady, "no commit")}
	service := newServiceAt(t, startTransport(t), head, registry, Limit{Rate: 10})
	activateOnce(service)
	if allocatorOf(service) != nil {
		t.Error("change of the registry failed: got an allocator, want none")
	}
	head.fresh.Store(false) // ends the attempts
}
