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
		t.Fatal("picked a blocked backend, want a refusal")
	}
	stats := p.Stats(at(50 * time.Millisecond))
	c := stats.Classes[live]
	if c.Class != ClassLive || c.Refusals["blocked"] != 1 || c.Outcomes["full"] != 1 || c.Outcomes["ok"] != before.Outcomes["ok"]+1 {
		t.Errorf("counts of live requests: got %+v, want 1 blocked, 1 full, 1 more ok", c)
	}
	if picked := c.Picks["normal near"] + c.Picks["normal far"]; picked != 2 {
		t.Errorf("picks of normal backends: got %d of %+v, want 2", picked, c.Picks)
	}
	if bucket := 1; c.FirstByteTimes.Counts[bucket] != before.FirstByteTimes.Counts[bucket]+1 || c.FirstByteTimes.Bounds[bucket] != 50*time.Millisecond {
		t.Errorf("histogram after 30 ms to the first byte: got %+v, want 1 more in the bucket up to 50 ms", c.FirstByteTimes)
	}
	if stats.Backends != 2 || stats.Ejected != 0 || stats.InFlight != 0 || stats.Shared {
		t.Errorf("stats: got %+v, want 2 backends, none ejected, no requests in flight, loads not shared", stats)
	}
	if c.Modes["normal"] != 2 {
		t.Errorf("modes of the backends: got %v, want 2 normal", c.Modes)
	}
	if b := stats.Classes[batch]; b.Class != ClassBatch || b.Picks["normal near"] != 0 {
		t.Errorf("counts of batch work: got %+v, want no picks", b)
	}
}
