package quota

import (
	"context"
	"errors"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/configuration"
	"nickelline/internal/fault"
	"nickelline/internal/peer"
)

// eventTimeout bounds how long a test waits for an event.
const eventTimeout = 20 * time.Second

func startLimiter(t *testing.T, controls ...netip.AddrPort) *Limiter {
	t.Helper()
	transport := startTransport(t)
	l := NewLimiter(testPolicy, transport, func() []netip.AddrPort { return controls }, zap.NewNop())
	l.HandleAnnouncements(transport)
	transport.Start()
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { l.Run(ctx) })
	t.Cleanup(func() { cancel(); done.Wait() })
	return l
}

// awaitAllocator waits until a limiter has found the allocator. On a busy machine this takes longer than one Take waits.
func awaitAllocator(t *testing.T, l *Limiter, tenant *configuration.Tenant) {
	t.Helper()
	began := time.Now()
	for fault.KindOf(l.Take(t.Context(), tenant)) == fault.NotReady {
		if time.Since(began) > eventTimeout {
			t.Fatal("timeout: limiter has not found the allocator")
		}
	}
}

// localCaller calls the services of control nodes directly, so that a call takes no time of a simulated clock.
type localCaller map[netip.AddrPort]*Service

func (c localCaller) Call(ctx context.Context, to netip.AddrPort, m peer.Message) (peer.Message, error) {
	return c[to].renew(ctx, proxyAddress, m)
}

func TestTakeFollowsTheAllocator(t *testing.T) {
	controlTransport, standbyTransport := startTransport(t), startTransport(t)
	synctest.Test(t, func(t *testing.T) {
		head := &fakeHead{}
		head.fresh.Store(true)
		limits := oneLimit(Limit{Rate: 100, Burst: 40})
		control := NewService(testPolicy, head, &fakeRegistry{}, limits, nil, controlTransport, zap.NewNop())
		endGrace(t, control)
		standbyHead := &fakeHead{head: controlTransport.Address()}
		standby := NewService(testPolicy, standbyHead, &fakeRegistry{}, limits, nil, standbyTransport, zap.NewNop())
		services := localCaller{controlTransport.Address(): control, standbyTransport.Address(): standby}
		limiter := NewLimiter(testPolicy, services, func() []netip.AddrPort {
			return []netip.AddrPort{standbyTransport.Address()}
		}, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { limiter.Run(ctx) })
		defer running.Wait()
		defer cancel()

		tenant := &configuration.Tenant{Name: "t", RatePerSecond: 100, Burst: 40}
		awaitAllocator(t, limiter, tenant)
		var admitted, refused atomic.Int64
		var requests sync.WaitGroup
		for range 400 {
			requests.Go(func() {
				switch err := limiter.Take(t.Context(), tenant); {
				case err == nil:
					admitted.Add(1)
				case fault.KindOf(err) == fault.QuotaExceeded && RetryAfter(err) > 0:
					refused.Add(1)
				default:
					t.Errorf("Take: got error %v, want fault.QuotaExceeded with RetryAfter", err)
				}
			})
		}
		requests.Wait()
		if admitted.Load() < 30 || refused.Load() < 100 {
			t.Errorf("400 requests at once: got %d admitted and %d refused, want 30 and 100 at least", admitted.Load(), refused.Load())
		}
	})
}

func TestTakeWithoutALimit(t *testing.T) {
	l := NewLimiter(testPolicy, nil, nil, zap.NewNop())
	for _, tenant := range []*configuration.Tenant{nil, {Name: "t"}, {Name: "t", Burst: 5}} {
		if err := l.Take(t.Context(), tenant); err != nil {
			t.Errorf("Take of %+v: got error %v, want none", tenant, err)
		}
	}
}

func TestTakeWithoutAnAllocator(t *testing.T) {
	control, _ := newControlNode(t, &fakeHead{}, Limit{Rate: 10})
	limiter := startLimiter(t, control.Address())
	err := limiter.Take(t.Context(), &configuration.Tenant{Name: "t", RatePerSecond: 10})
	if fault.KindOf(err) != fault.NotReady {
		t.Errorf("Take: got error %v, want fault.NotReady", err)
	}
}

func TestTakeEndsWithItsContext(t *testing.T) {
	l := NewLimiter(testPolicy, nil, nil, zap.NewNop()) // nobody answers
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(errors.New("client left"))
	err := l.Take(ctx, &configuration.Tenant{Name: "t", RatePerSecond: 10})
	if fault.KindOf(err) != fault.NotReady {
		t.Errorf("Take: got error %v, want fault.NotReady", err)
	}
}

func TestNextAllocatorReclaimsTheLeases(t *testing.T) {
	registry := &fakeRegistry{}
	first, second := &fakeHead{}, &fakeHead{}
	first.fresh.Store(true)
	first.epoch.Store(1)
	limit := Limit{Rate: 1000, Burst: 1000}
	firstTransport, secondTransport := startTransport(t), startTransport(t)
	firstService := newServiceAt(t, firstTransport, first, registry, limit)
	limiter := startLimiter(t, firstTransport.Address())
	activate(t, firstService)
	tenant := &configuration.Tenant{Name: "t", RatePerSecond: limit.Rate, Burst: limit.Burst}
	takeOnce(t, limiter, tenant)

	second.epoch.Store(2)
	secondService := newServiceAt(t, secondTransport, second, registry, limit)
	second.fresh.Store(true)
	activate(t, secondService)
	waitUntilReclaimed(t, limiter, secondTransport.Address())
	allocator := allocatorOf(secondService)
	secondService.mutex.Lock()
	graceEnded := allocator.graceEnded(time.Now())
	secondService.mutex.Unlock()
	if !graceEnded {
		t.Error("all leases reclaimed: got grace period, want its end")
	}
	takeOnce(t, limiter, tenant)
	if got := len(registry.Current().Leaseholders); got != 1 {
		t.Errorf("registered processes: got %d, want 1", got)
	}
}

// takeOnce repeats Take until it admits a request. The wait of each Take is bounded, and on a busy machine the allocator may
// answer later than that.
func takeOnce(t *testing.T, l *Limiter, tenant *configuration.Tenant) {
	t.Helper()
	began := time.Now()
	for l.Take(t.Context(), tenant) != nil {
		if time.Since(began) > eventTimeout {
			t.Fatal("timeout: no request was admitted")
		}
	}
}

// fault.QuotaExceeded (status 429) is only for tenants that have used up their rate. A request on which the allocator cannot
// decide yet, or which it does not answer in time, is refused with fault.NotReady and a time after which to retry.
func TestRefusalsTellWhetherTheRateIsUsedUp(t *testing.T) {
	tenant := &configuration.Tenant{Name: "t", RatePerSecond: 100}
	for _, test := range []struct {
		name  string
		grant *Grant // of the last answer, nil if there was none
		want  fault.Kind
	}{
		{"no answer yet", nil, fault.NotReady},
		{"used up", &Grant{RetryAfter: time.Minute}, fault.QuotaExceeded},
		{"not settled", &Grant{RetryAfter: time.Minute, Unsettled: true}, fault.NotReady},
		{"granted, and the next call is not answered", &Grant{Granted: 1}, fault.NotReady},
	} {
		l := NewLimiter(testPolicy, nil, nil, zap.NewNop()) // nobody answers
		l.buckets.bucket(time.Now(), tenant.Name)
		if test.grant != nil {
			entries := l.buckets.renewalEntries(time.Now(), map[string]int{tenant.Name: 1}, true)
			l.buckets.apply(time.Now(), time.Now(), entries, []Grant{*test.grant})
		}
		err := l.Take(WithMaxWait(t.Context(), time.Millisecond), tenant)
		if fault.KindOf(err) != test.want || RetryAfter(err) <= 0 {
			t.Errorf("%s: got error %v and RetryAfter %v, want %v and a positive RetryAfter", test.name, err, RetryAfter(err), test.want)
		}
	}
}

// waitUntilReclaimed waits until a limiter has presented its leases to an allocator.
func waitUntilReclaimed(t *testing.T, l *Limiter, allocator netip.AddrPort) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		l.mutex.Lock()
		reclaimed := !l.mustReclaim && l.allocator == allocator
		l.mutex.Unlock()
		if reclaimed {
			return
		}
		runtime.Gosched()
	}
	t.Fatal("timeout: limiter has not presented its leases to the allocator")
}

func TestAnswersOfFormerAllocatorsAreRejected(t *testing.T) {
	l := NewLimiter(testPolicy, nil, nil, zap.NewNop())
	old, next := proxyAddress, otherLeaseholder.Address
	if err := l.checkAnswer(old, &renewalAnswer{epoch: 3}, 0); err != nil {
		t.Fatal(err)
	}
	l.followAllocator(next, 4)
	if err := l.checkAnswer(old, &renewalAnswer{epoch: 3}, 0); fault.KindOf(err) != fault.NotReady {
		t.Errorf("answer of a former allocator: got error %v, want fault.NotReady", err)
	}
	if err := l.checkAnswer(old, &renewalAnswer{moved: true}, 0); err != nil || l.allocator != next {
		t.Errorf("allocator after a late answer: got %v and error %v, want %v and none", l.allocator, err, next)
	}
	l.followAllocator(old, 3)
	if l.allocator != next {
		t.Error("announcement of a former allocator: limiter follows it, want it ignored")
	}
}

func TestLimiterTakenForAFormerProcessStartsAnew(t *testing.T) {
	l := NewLimiter(testPolicy, nil, nil, zap.NewNop())
	generation := l.generation
	l.buckets.takeOnArrival(time.Now(), "t")
	entries := l.buckets.renewalEntries(time.Now(), nil, true)
	l.buckets.apply(time.Now(), time.Now(), entries, []Grant{{Lease: Share{Rate: 1e9, Depth: 9}}})
	l.dropAllocator(proxyAddress, fault.New(fault.NotReady, "out of reach"))
	if l.generation != generation || l.buckets.bucket(time.Now(), "t").lease.Rate == 0 {
		t.Error("after a failed call: leases or generation changed, want them kept")
	}
	l.dropAllocator(proxyAddress, fault.New(fault.Conflict, "a former generation"))
	if l.generation == generation || l.buckets.bucket(time.Now(), "t").lease.Rate != 0 {
		t.Error("after fault.Conflict: generation or leases kept, want a new generation without leases")
	}
}

func TestTakeWaitsForTheLease(t *testing.T) {
	l := NewLimiter(testPolicy, nil, nil, zap.NewNop())
	l.failedAt = time.Now().Add(time.Hour) // the allocator is unreachable for the whole test
	l.buckets.takeOnArrival(time.Now(), "t")
	entries := l.buckets.renewalEntries(time.Now(), nil, true)
	l.buckets.apply(time.Now(), time.Now(), entries, []Grant{{Lease: Share{Rate: 100, Depth: 1}}})
	tenant := &configuration.Tenant{Name: "t", RatePerSecond: 100}
	for range 5 {
		if err := l.Take(t.Context(), tenant); err != nil {
			t.Fatalf("request with a token in 10 ms: got error %v, want none", err)
		}
	}
	slow := &configuration.Tenant{Name: "slow", RatePerSecond: 100}
	if err := l.Take(t.Context(), slow); fault.KindOf(err) != fault.NotReady {
		t.Errorf("request of a tenant without a lease: got error %v, want fault.NotReady", err)
	}
	impatient := WithMaxWait(t.Context(), time.Microsecond)
	refusals := 0
	began := time.Now()
	for range 5 {
		if l.Take(impatient, tenant) != nil {
			refusals++
		}
	}
	// The bucket may hold one token, and more tokens are added if the machine delays the loop.
	if most := 1 + int(time.Since(began).Seconds()*100); refusals < 5-most {
		t.Errorf("requests that cannot wait: got %d of 5 refused, want at least %d", refusals, 5-most)
	}
}
