package admission

import (
	"testing"
	"time"
)

func TestStatsCountRequests(t *testing.T) {
	p := newTestPool(backendsOf(2, 8, "a", "b"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	before := p.Stats(at(0)).Classes[live]
	first := mustPick(t, p, at(0), Request{})
	first.Started(at(30 * time.Millisecond))
	first.Done(at(40*time.Millisecond), OK, nil)
	mustPick(t, p, at(0), Request{}).Done(at(time.Millisecond), Full, nil)
	for _, b := range p.backends {
		b.blockBriefly(at(time.Millisecond))
	}
	if ticket, _ := p.Pick(at(2*time.Millisecond), Request{}); ticket != nil {
		t.Fatal("picked a backend that is full")
	}
	stats := p.Stats(at(50 * time.Millisecond))
	c := stats.Classes[live]
	if c.Class != ClassLive || c.Refusals["blocked"] != 1 || c.Outcomes["full"] != 1 || c.Outcomes["ok"] != before.Outcomes["ok"]+1 {
		t.Errorf("%+v", c)
	}
	if picked := c.Picks["normal near"] + c.Picks["normal far"]; picked != 2 {
		t.Errorf("%d picks of normal backends: %+v", picked, c.Picks)
	}
	if bucket := 1; c.FirstByteTimes.Counts[bucket] != before.FirstByteTimes.Counts[bucket]+1 || c.FirstByteTimes.Bounds[bucket] != 50*time.Millisecond {
		t.Errorf("30 ms to the first byte: %+v", c.FirstByteTimes)
	}
	if stats.Backends != 2 || stats.Ejected != 0 || stats.InFlight != 0 || stats.Shared {
		t.Errorf("%+v", stats)
	}
	if c.Modes["normal"] != 2 {
		t.Errorf("modes %v", c.Modes)
	}
	if b := stats.Classes[batch]; b.Class != ClassBatch || b.Picks["normal near"] != 0 {
		t.Errorf("batch work: %+v", b)
	}
}
