package quota

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/configuration"
)

func TestLeavingLeaseholderIsRemovedAtOnce(t *testing.T) {
	a, now := allocatorAfterGrace(testLimit)
	mustRenew(t, a, now, testLeaseholder, 1, Entry{Tenant: "t", Demand: 100})
	if _, err := a.Renew(now, testLeaseholder, &Renewal{Generation: 1, Sequence: 2, Complete: true, Leaving: true}); err != nil {
		t.Fatal(err)
	}
	if !a.HasRemovable() {
		t.Error("HasRemovable: got false, want true")
	}
	if removable := a.TakeRemovable(now); !slices.Equal(removable, []Leaseholder{testLeaseholder}) {
		t.Errorf("TakeRemovable: got %v, want only %v", removable, testLeaseholder)
	}
	if grant := mustRenew(t, a, now, otherLeaseholder, 1, Entry{Tenant: "t", Demand: 100})[0]; grant.Lease.Rate < 40 {
		t.Errorf("grant after the other leaseholder left: got %+v, want a rate of 40 at least", grant)
	}
}

// The grace period of a new allocator ends when the last process that it waits for has left.
func TestGraceDoesNotWaitForLeavingProxy(t *testing.T) {
	a := NewAllocator(testPolicy, oneLimit(testLimit), RegistryState{Leaseholders: []Leaseholder{testLeaseholder}}, nil, testStart)
	if _, err := a.Renew(after(0), testLeaseholder, &Renewal{Generation: 1, Sequence: 1, Complete: true, Leaving: true}); err != nil {
		t.Fatal(err)
	}
	register(a, after(0), otherLeaseholder)
	if grant := mustRenew(t, a, after(0), otherLeaseholder, 1, Entry{Tenant: "t", Demand: 100})[0]; grant.Lease.Rate < 40 {
		t.Errorf("grant after the only leaseholder left: got %+v, want a rate of 40 at least", grant)
	}
}

func TestLeaveUnregistersLimiter(t *testing.T) {
	head := &fakeHead{}
	head.fresh.Store(true)
	transport := startTransport(t)
	registry := &fakeRegistry{}
	service := newServiceAt(t, transport, head, registry, Limit{Rate: 100, Burst: 40})
	endGrace(t, service)
	own := startTransport(t)
	limiter := NewLimiter(testPolicy, own, func() []netip.AddrPort { return []netip.AddrPort{transport.Address()} }, zap.NewNop())
	limiter.HandleAnnouncements(own)
	own.Start()
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { limiter.Run(ctx) })
	takeOnce(t, limiter, &configuration.Tenant{Name: "t", RatePerSecond: 100, Burst: 40})
	stop()
	running.Wait()
	if len(registry.Current().Leaseholders) != 1 {
		t.Fatalf("registry: got %v, want one leaseholder", registry.Current().Leaseholders)
	}
	bounded, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	limiter.Leave(bounded)
	for len(registry.Current().Leaseholders) > 0 {
		service.mutex.Lock()
		changed := service.updater.startUpdates()
		service.mutex.Unlock()
		select {
		case <-changed:
		case <-bounded.Done():
			t.Fatalf("registry after Leave: got %v, want none", registry.Current().Leaseholders)
		}
	}
}

// A process that is down is removed once its leases have expired. A process that runs but does not renew stays registered
// for longer.
func TestDownLeaseholderIsRemovedOnceItsLeasesExpire(t *testing.T) {
	for _, down := range []bool{false, true} {
		a, now := allocatorAfterGrace(testLimit)
		a.isDown = func(address netip.AddrPort) bool { return down && address == testLeaseholder.Address }
		mustRenew(t, a, now, testLeaseholder, 1, Entry{Tenant: "t", Demand: 100})
		renewedAgain := now.Add(testPolicy.Lease)
		mustRenew(t, a, renewedAgain, otherLeaseholder, 1, Entry{Tenant: "t", Demand: 100})
		if a.HasRemovable() {
			t.Error("HasRemovable with a lease in force: got true, want false")
		}
		ended := now.Add(testPolicy.Lease + HeadProofLifetime + time.Second)
		mustRenew(t, a, ended, otherLeaseholder, 2, Entry{Tenant: "t", Demand: 100})
		mustRenew(t, a, ended.Add(sweepInterval), otherLeaseholder, 3, Entry{Tenant: "t", Demand: 100})
		if a.HasRemovable() != down {
			t.Errorf("HasRemovable after expiry: got %v, want %v", a.HasRemovable(), down)
		}
	}
}
