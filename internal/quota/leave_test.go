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

func TestLeavingLifeIsForgottenAtOnce(t *testing.T) {
	a, now := settledAllocator(testLimit)
	mustRenew(t, a, now, testHolder, 1, Entry{Tenant: "t", Demand: 100})
	if _, err := a.Renew(now, testHolder, &Renewal{Life: 1, Sequence: 2, Complete: true, Leaving: true}); err != nil {
		t.Fatal(err)
	}
	if !a.HasSilent() {
		t.Error("no removal is called for")
	}
	if silent := a.TakeSilent(now); !slices.Equal(silent, []Holder{testHolder}) {
		t.Errorf("to be removed: %v", silent)
	}
	if g := mustRenew(t, a, now, otherHolder, 1, Entry{Tenant: "t", Demand: 100})[0]; g.Lease.Rate < 40 {
		t.Errorf("%+v though the only other holder has left", g)
	}
}

// A new allocator does not wait for one that left while its leases were not all known.
func TestAllocatorDoesNotWaitForOneThatLeaves(t *testing.T) {
	a := NewAllocator(rulePolicy, oneLimit(testLimit), []Holder{testHolder}, testStart)
	if _, err := a.Renew(after(0), testHolder, &Renewal{Life: 1, Sequence: 1, Complete: true, Leaving: true}); err != nil {
		t.Fatal(err)
	}
	registerLife(a, after(0), otherHolder)
	if g := mustRenew(t, a, after(0), otherHolder, 1, Entry{Tenant: "t", Demand: 100})[0]; g.Lease.Rate < 40 {
		t.Errorf("%+v though the only holder has left", g)
	}
}

func TestLimiterThatLeavesIsNotRegisteredAnyMore(t *testing.T) {
	head := &fakeHead{}
	head.fresh.Store(true)
	transport := startTransport(t)
	register := &fakeRegister{}
	service := newServiceAt(t, transport, head, register, Limit{Rate: 100, Burst: 40})
	settle(t, service)
	own := startTransport(t)
	limiter := NewLimiter(rulePolicy, own, func() []netip.AddrPort { return []netip.AddrPort{transport.Address()} }, zap.NewNop())
	limiter.Receive(own)
	own.Start()
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { limiter.Run(ctx) })
	if err := limiter.Take(t.Context(), &configuration.Tenant{Name: "t", RatePerSecond: 100, Burst: 40}); err != nil {
		t.Fatal(err)
	}
	stop()
	running.Wait()
	if len(register.Current().Members) != 1 {
		t.Fatalf("registered: %v", register.Current().Members)
	}
	bounded, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	limiter.Leave(bounded)
	for len(register.Current().Members) > 0 {
		service.mutex.Lock()
		changed := service.registrar.start()
		service.mutex.Unlock()
		select {
		case <-changed:
		case <-bounded.Done():
			t.Fatalf("still registered: %v", register.Current().Members)
		}
	}
}

// A life that is gone is forgotten when its leases have ended; one that runs without a renewal stays registered for longer.
func TestGoneLifeIsForgottenWithItsLeases(t *testing.T) {
	for _, gone := range []bool{false, true} {
		a, now := settledAllocator(testLimit)
		a.gone = func(address netip.AddrPort) bool { return gone && address == testHolder.Address }
		mustRenew(t, a, now, testHolder, 1, Entry{Tenant: "t", Demand: 100})
		renewedAgain := now.Add(rulePolicy.Lease)
		mustRenew(t, a, renewedAgain, otherHolder, 1, Entry{Tenant: "t", Demand: 100})
		if a.HasSilent() {
			t.Error("a life that holds a lease is to be removed")
		}
		ended := now.Add(rulePolicy.Lease + HeadshipProof + time.Second)
		mustRenew(t, a, ended, otherHolder, 2, Entry{Tenant: "t", Demand: 100})
		mustRenew(t, a, ended.Add(sweepInterval), otherHolder, 3, Entry{Tenant: "t", Demand: 100})
		if a.HasSilent() != gone {
			t.Errorf("gone is %v, to be removed %v", gone, a.HasSilent())
		}
	}
}
