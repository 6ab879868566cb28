package admission

import (
	"fmt"
	"testing"
	"time"

	"nickelline/internal/discovery"
)

var start = time.Now()

func at(d time.Duration) time.Time { return start.Add(d) }

// backendsOf returns n backends, assigned to the zones in turn.
func backendsOf(n, slots int, zones ...string) []discovery.Backend {
	backends := make([]discovery.Backend, n)
	for i := range backends {
		backends[i] = discovery.Backend{
			ID:      fmt.Sprintf("i-%04d", i),
			Service: "s",
			Zone:    zones[i%len(zones)],
			Slots:   slots,
		}
	}
	return backends
}

func newTestPool(backends []discovery.Backend) *Pool {
	p := NewPool("s", "node-1", "a", 1)
	p.SetBackends(backends, 0)
	return p
}

// reportIdleLoads completes enough requests at every backend for the pool to use its estimates. Each response takes the
// latency and reports an idle backend.
func reportIdleLoads(t *testing.T, p *Pool, now time.Time, latency time.Duration) {
	t.Helper()
	for range minResponses {
		for _, b := range p.backends {
			ticket := p.newTicket(now.Add(-latency), &Request{}, b)
			ticket.Done(now, OK, &Load{Running: 1, Slots: int(b.slots)})
		}
	}
}

func mustPick(t *testing.T, p *Pool, now time.Time, r Request) *Ticket {
	t.Helper()
	ticket, refusal := p.Pick(now, r)
	if ticket == nil {
		t.Fatalf("Pick: got refusal %+v, want a ticket", refusal)
	}
	return ticket
}

func TestFullResponseBlocksBriefly(t *testing.T) {
	p := newTestPool(backendsOf(1, 6, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	mustPick(t, p, at(0), Request{}).Done(at(0), Full, nil)
	if ticket, refusal := p.Pick(at(forcedBlockTime-time.Nanosecond), Request{}); ticket != nil {
		t.Error("picked a backend that has just reported that it is full")
	} else if refusal.RetryAfter < minRetryAfter/2 || refusal.RetryAfter > 2*maxRetryAfter {
		t.Errorf("RetryAfter: got %v, want about %v to %v", refusal.RetryAfter, minRetryAfter, maxRetryAfter)
	}
	mustPick(t, p, at(forcedBlockTime), Request{})
}

func TestBlockingBackendsGetNoRequests(t *testing.T) {
	p := newTestPool(backendsOf(3, 6, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	full := p.backends[1]
	full.recordLoad(at(0), 0, &Load{Running: 6, Waiting: 24, Slots: 6})
	p.recordOthers(at(0), full)
	for i := range 500 {
		ticket := mustPick(t, p, at(0), Request{Batch: i%2 == 0})
		if ticket.backend == full {
			t.Fatal("picked a blocking backend")
		}
		ticket.Done(at(0), Cancelled, nil)
	}
}

func TestRefusedOnlyWhenAllBlock(t *testing.T) {
	p := newTestPool(backendsOf(3, 6, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	for _, b := range p.backends {
		b.recordLoad(at(0), 0, &Load{Running: 6, Waiting: 30, Slots: 6})
	}
	if ticket, _ := p.Pick(at(0), Request{}); ticket != nil {
		t.Error("picked a blocking backend")
	}
	p.backends[2].recordLoad(at(0), 0, &Load{Running: 2, Slots: 6})
	if ticket := mustPick(t, p, at(0), Request{}); ticket.backend != p.backends[2] {
		t.Errorf("picked %s, want %s, which has free slots", ticket.Backend.ID, p.backends[2].listed.ID)
	}
}

// TestNoRefusalWithFreeSlots fills all slots of the backends without a response, and expects no refusal.
func TestNoRefusalWithFreeSlots(t *testing.T) {
	for _, slots := range []int{6, 16} {
		p := newTestPool(backendsOf(9, slots, "a", "b", "c"))
		reportIdleLoads(t, p, at(0), 20*time.Millisecond)
		for range 9 * slots {
			mustPick(t, p, at(time.Millisecond), Request{})
		}
	}
}

func TestLargeRequestsWeighMore(t *testing.T) {
	p := newTestPool(backendsOf(1, 96, "a"))
	for range 500 {
		p.weightOf(2000)
	}
	if small, large := p.weightOf(200), p.weightOf(8000); small > 0.3 || large < 3 {
		t.Errorf("weights of a small and a large request: got %v and %v, want at most 0.3 and at least 3", small, large)
	}
	if p.weightOf(0) != 1 {
		t.Errorf("weight of a request of unknown size: got %v, want 1", p.weightOf(0))
	}
}

func TestStartIsLimitedWithoutResponses(t *testing.T) {
	p := newTestPool(backendsOf(3, 16, "a"))
	for range 3 * 8 { // half of the slots: no refusal before the first response
		mustPick(t, p, at(0), Request{})
	}
	sent := 3 * 8
	for range 200 {
		if ticket, _ := p.Pick(at(0), Request{}); ticket != nil {
			sent++
		}
	}
	if sent > 3*40 {
		t.Errorf("requests sent to three backends of 16 slots before the first response: got %d, want at most %d", sent, 3*40)
	}
}

func TestStartDoesNotBlockForever(t *testing.T) {
	p := newTestPool(backendsOf(3, 96, "a"))
	_, _ = p.Pick(at(0), Request{Batch: true})
	mustPick(t, p, at(startupDecayTime), Request{Batch: true})
}

func TestSetBackendsKeepsState(t *testing.T) {
	backends := backendsOf(4, 6, "a")
	p := newTestPool(backends)
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	ticket := mustPick(t, p, at(0), Request{})
	kept := ticket.backend
	p.SetBackends(append([]discovery.Backend{}, ticket.Backend), 0)
	if len(p.backends) != 1 || p.backends[0] != kept || kept.inFlight != 1 {
		t.Error("state of a backend that stays in the list: got lost, want kept")
	}
	p.SetBackends(nil, 0)
	ticket.Done(at(0), OK, nil) // must not panic
	if got, _ := p.Pick(at(0), Request{}); got != nil {
		t.Error("picked from an empty list")
	}
}

func TestColdBackendsGetFewerRequests(t *testing.T) {
	backends := backendsOf(4, 96, "a")
	backends[0].ColdRemaining = 10 * time.Second
	p := newTestPool(backends)
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	cold := 0
	for range 400 {
		if mustPick(t, p, at(0), Request{}).Backend.ID == backends[0].ID {
			cold++
		}
	}
	if cold == 0 || cold > 80 {
		t.Errorf("cold backend among four: got %d of 400 requests, want 1 to 80", cold)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 100, 1000, 3700} {
		p := NewPool("s", "node-1", "a", 1)
		p.SetBackends(backendsOf(n, 96, "a", "b", "c"), 0)
		prefix := []string{"5c1e07a2", "91bd3f06"}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			now := start
			for b.Loop() {
				now = now.Add(time.Millisecond)
				if ticket, _ := p.Pick(now, Request{Tokens: 2000, Prefix: prefix}); ticket != nil {
					ticket.Done(now.Add(20*time.Millisecond), OK, &Load{Running: 3, Slots: 96})
				}
			}
		})
	}
}

func BenchmarkSetBackends(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		backends := backendsOf(n, 96, "a", "b", "c")
		p := NewPool("s", "node-1", "a", 1)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				p.SetBackends(backends, 0)
			}
		})
	}
}
