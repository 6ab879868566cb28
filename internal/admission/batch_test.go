package admission

import (
	"math"
	"testing"
	"time"
)

func TestBatchWorkWaitsForItsZone(t *testing.T) {
	p := newTestPool(backendsOf(3, 96, "a", "b", "c"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	first := mustPick(t, p, at(0), Request{Batch: true})
	if !first.backend.sameZone {
		t.Fatal("picked another zone, want the local zone, which has an idle backend")
	}
	for range promptsAtOnce - 1 {
		mustPick(t, p, at(0), Request{Batch: true})
	}
	if ticket, _ := p.Pick(at(0), Request{Batch: true}); ticket != nil {
		t.Error("batch work: got a backend of another zone, want a refusal until the local backend has responded")
	}
	near := first.backend.listed.ID
	mustPick(t, p, at(0), Request{Batch: true, Exclude: func(id string) bool { return id == near }})
}

// promptsAtOnce is the number of requests of batch work that a backend without load receives before its first response.
var promptsAtOnce = int(math.Ceil(maxBatchUnanswered))

func TestUrgentBatchWorkGoesToAnotherZone(t *testing.T) {
	p := newTestPool(backendsOf(2, 96, "a", "b"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	for range promptsAtOnce {
		mustPick(t, p, at(0), Request{Batch: true})
	}
	if ticket, _ := p.Pick(at(0), Request{Batch: true}); ticket != nil {
		t.Fatal("batch work that is not urgent: got a backend of another zone, want a refusal")
	}
	if ticket := mustPick(t, p, at(0), Request{Batch: true, Urgent: true}); ticket.Backend.Zone != "b" {
		t.Errorf("zone of urgent batch work: got %s, want b", ticket.Backend.Zone)
	}
}

// A store, which sends batch work, knows from the reports of a backend how many prompts of other nodes wait there. Among
// them are those of live requests, which the prompts of batch work would delay.
func TestBatchWorkWaitsForPromptsOfOtherNodes(t *testing.T) {
	p := newTestPool(backendsOf(1, 96, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	ticket := mustPick(t, p, at(0), Request{})
	ticket.Done(at(20*time.Millisecond), OK, &Load{Running: 4, Waiting: promptsAtOnce + 1, Slots: 96})
	now := at(21 * time.Millisecond)
	if ticket, _ := p.Pick(now, Request{Batch: true}); ticket != nil {
		t.Error("batch work: got a backend at which prompts of other nodes wait, want a refusal")
	}
	mustPick(t, p, now, Request{}).Done(now, Cancelled, nil)
	mustPick(t, p, at(20*time.Millisecond+reportDecayTime), Request{Batch: true}) // the report is too old
}

func TestBatchWorkSendsFewPromptsAtATime(t *testing.T) {
	for _, c := range []struct {
		latency time.Duration
		want    int
	}{{20 * time.Millisecond, promptsAtOnce}, {200 * time.Millisecond, 1}} {
		p := newTestPool(backendsOf(1, 96, "a"))
		reportIdleLoads(t, p, at(0), 20*time.Millisecond)
		p.backends[0].latency = c.latency.Seconds()
		var sent []*Ticket
		for range c.want {
			sent = append(sent, mustPick(t, p, at(0), Request{Batch: true}))
		}
		if ticket, _ := p.Pick(at(0), Request{Batch: true}); ticket != nil {
			t.Errorf("prompts of batch work at a latency of %v: got more than %d, want no more", c.latency, c.want)
		}
		mustPick(t, p, at(0), Request{}).Done(at(0), Cancelled, nil) // live requests are not limited
		sent[0].Started(at(time.Millisecond))
		mustPick(t, p, at(time.Millisecond), Request{Batch: true})
	}
}
