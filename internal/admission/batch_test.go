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
		t.Fatal("picked another zone though the own zone has an idle backend")
	}
	for range promptsAtOnce - 1 {
		mustPick(t, p, at(0), Request{Batch: true})
	}
	if ticket, _ := p.Pick(at(0), Request{Batch: true}); ticket != nil {
		t.Error("batch work did not wait for the backend of its zone")
	}
	near := first.backend.listed.ID
	mustPick(t, p, at(0), Request{Batch: true, Exclude: func(id string) bool { return id == near }})
}

// promptsAtOnce is the number of requests of batch work that an uncrowded backend gets before any of them is answered.
var promptsAtOnce = int(math.Ceil(batchUnanswered))

func TestUrgentBatchWorkGoesToAnotherZone(t *testing.T) {
	p := newTestPool(backendsOf(2, 96, "a", "b"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	for range promptsAtOnce {
		mustPick(t, p, at(0), Request{Batch: true})
	}
	if ticket, _ := p.Pick(at(0), Request{Batch: true}); ticket != nil {
		t.Fatal("batch work that can wait goes to another zone")
	}
	if ticket := mustPick(t, p, at(0), Request{Batch: true, Urgent: true}); ticket.Backend.Zone != "b" {
		t.Errorf("urgent batch work goes to zone %s", ticket.Backend.Zone)
	}
}

// A store sees few of the prompts that wait at a backend. Those of the proxies' live requests, which its own would delay, are
// in the backend's reports.
func TestBatchWorkWaitsForPromptsOfOtherNodes(t *testing.T) {
	p := newTestPool(backendsOf(1, 96, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	ticket := mustPick(t, p, at(0), Request{})
	ticket.Done(at(20*time.Millisecond), OK, &Load{Running: 4, Waiting: promptsAtOnce + 1, Slots: 96})
	now := at(21 * time.Millisecond)
	if ticket, _ := p.Pick(now, Request{Batch: true}); ticket != nil {
		t.Error("batch work is sent to a backend at which prompts of other nodes wait")
	}
	mustPick(t, p, now, Request{}).Done(now, Cancelled, nil)
	mustPick(t, p, at(20*time.Millisecond+reportMemory), Request{Batch: true}) // the report is too old
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
			t.Errorf("more than %d prompts of batch work at a latency of %v", c.want, c.latency)
		}
		mustPick(t, p, at(0), Request{}).Done(at(0), Cancelled, nil) // live requests go on
		sent[0].Started(at(time.Millisecond))
		mustPick(t, p, at(time.Millisecond), Request{Batch: true})
	}
}
