package admission

import (
	"testing"
	"time"
)

func TestTwoChoicesTakeTheLowerDelay(t *testing.T) {
	p := newTestPool(backendsOf(2, 96, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	slow := p.backends[0]
	slow.latency = 0.05
	for range 200 {
		ticket := mustPick(t, p, at(0), Request{})
		if ticket.backend == slow {
			t.Fatal("picked the slower of two idle backends")
		}
		ticket.Done(at(0), Cancelled, nil)
	}
	for range 10 { // the score of the faster backend is now higher
		p.backends[1].addRequest(at(0), live, 1)
	}
	if ticket := mustPick(t, p, at(0), Request{}); ticket.backend != slow {
		t.Error("picked the busier backend")
	}
}

func TestTwoChoicesAreRandom(t *testing.T) {
	p := newTestPool(backendsOf(10, 96, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	counts := map[*backend]int{}
	for range 2000 {
		ticket := mustPick(t, p, at(0), Request{})
		counts[ticket.backend]++
		ticket.Done(at(0), Cancelled, nil)
	}
	for b, count := range counts {
		if count < 100 || count > 300 {
			t.Errorf("%s: got %d of 2000 requests, want about 200", b.listed.ID, count)
		}
	}
}

func TestOwnZoneIsPreferredUnlessMuchBusier(t *testing.T) {
	p := newTestPool(backendsOf(9, 96, "a", "b", "c"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	for range 100 {
		ticket := mustPick(t, p, at(0), Request{})
		if !ticket.backend.sameZone {
			t.Fatal("picked another zone, want the local zone, which has an idle backend")
		}
		ticket.Done(at(0), Cancelled, nil)
	}
	for _, b := range p.backends {
		if b.sameZone {
			b.recordLoad(at(0), 0, &Load{Running: 80, Slots: 96})
		}
	}
	if ticket := mustPick(t, p, at(0), Request{}); ticket.backend.sameZone {
		t.Error("picked a busy backend of the local zone, want an idle one of another zone")
	}
}

func TestExcludedBackendsAreNotPicked(t *testing.T) {
	p := newTestPool(backendsOf(3, 6, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	exclude := func(id string) bool { return id != "i-0002" }
	for range 20 {
		ticket := mustPick(t, p, at(0), Request{Exclude: exclude})
		if ticket.Backend.ID != "i-0002" {
			t.Fatalf("picked %s, want i-0002", ticket.Backend.ID)
		}
		ticket.Done(at(0), Cancelled, nil)
	}
	if ticket, _ := p.Pick(at(0), Request{Exclude: func(string) bool { return true }}); ticket != nil {
		t.Error("picked an excluded backend")
	}
}
