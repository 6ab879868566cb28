package admission

import (
	"testing"
	"time"
)

// completeWithoutLoad completes enough requests at every backend for the pool to conclude that backends do not report loads.
func completeWithoutLoad(p *Pool, now time.Time, latency time.Duration) {
	for range minResponses {
		for _, b := range p.backends {
			ticket := p.newTicket(now.Add(-latency), &Request{}, b)
			ticket.Done(now, OK, nil)
		}
	}
}

// newPoolWithoutReports returns the pool of a service whose backends do not report their load.
func newPoolWithoutReports(n, slots int, zones ...string) *Pool {
	p := newTestPool(backendsOf(n, slots, zones...))
	completeWithoutLoad(p, at(0), 20*time.Millisecond)
	return p
}

// shareLoads sets the loads of all nodes in a pool. The load of a backend is its entry in other, or all if it has none.
func shareLoads(p *Pool, now time.Time, all BackendLoad, other map[*backend]BackendLoad) {
	p.lastRequestAt = now
	loads, _ := p.LocalLoads(now, true)
	for i := range loads {
		l, ok := other[p.byKey[loads[i].Backend]]
		if !ok {
			l = all
		}
		l.Backend = loads[i].Backend
		loads[i] = l
	}
	p.SetTotalLoads(now, loads)
}

func TestReport(t *testing.T) {
	p := newPoolWithoutReports(4, 8, "a")
	if _, needed := p.LocalLoads(at(0), true); needed {
		t.Error("pool without requests: got a report needed, want none")
	}
	ticket := mustPick(t, p, at(time.Second), Request{Batch: true})
	loads, needed := p.LocalLoads(at(time.Second), true)
	if !needed || len(loads) != 4 {
		t.Fatalf("complete report: got %+v, needed %v, want 4 loads, needed", loads, needed)
	}
	loads, _ = p.LocalLoads(at(time.Second), false)
	if len(loads) != 1 || loads[0].InFlight != 1 || loads[0].Batch != 1 || loads[0].Unanswered != 1 || loads[0].Pending != 1 {
		t.Errorf("report of one item of a batch job: got %+v, want one load with 1 in each field", loads)
	}
	ticket.Done(at(1100*time.Millisecond), OK, nil)
	if loads, _ = p.LocalLoads(at(1300*time.Millisecond), false); len(loads) != 0 {
		t.Errorf("report without requests in flight: got %+v, want no loads", loads)
	}
	if _, needed := p.LocalLoads(at(time.Second+2*reportIdleTime), false); needed {
		t.Error("idle pool: got a report needed, want none")
	}
}

func TestBackendsThatReportTheirLoadNeedNoReport(t *testing.T) {
	p := newTestPool(backendsOf(2, 8, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	mustPick(t, p, at(0), Request{})
	if loads, needed := p.LocalLoads(at(0), true); needed {
		t.Errorf("pool of backends that report their load: got report %+v, want none needed", loads)
	}
}

func TestRequestsOfOtherNodesCount(t *testing.T) {
	p := newPoolWithoutReports(4, 8, "a")
	free := p.backends[2]
	shareLoads(p, at(time.Second), BackendLoad{InFlight: 30}, map[*backend]BackendLoad{free: {InFlight: 2}})
	for range 5 {
		if ticket := mustPick(t, p, at(time.Second), Request{}); ticket.backend != free {
			t.Fatalf("picked %s, which requests of other nodes fill, want %s", ticket.Backend.ID, free.listed.ID)
		}
	}
	shareLoads(p, at(time.Second), BackendLoad{InFlight: 30}, nil)
	if ticket, _ := p.Pick(at(time.Second), Request{}); ticket != nil {
		t.Error("picked a blocking backend, want a refusal")
	}
	mustPick(t, p, at(time.Second+sharedValidity), Request{}) // the shared loads are no longer valid
}

func TestOwnRequestsAreNotCountedTwice(t *testing.T) {
	p := newPoolWithoutReports(1, 8, "a")
	for range 3 {
		mustPick(t, p, at(time.Second), Request{})
	}
	shareLoads(p, at(time.Second), BackendLoad{InFlight: 5, Batch: 1, Unanswered: 4, Pending: 4}, nil)
	b := p.backends[0]
	if l := b.otherNodes; l.inFlight != 2 || l.batch != 1 || l.unanswered != 1 || l.pending != 1 {
		t.Errorf("load of other nodes: got %+v, want 2 in flight, 1 batch, 1 unanswered, 1 pending", l)
	}
	if n := b.liveRequests(); n != 4 {
		t.Errorf("live requests: got %v, want 4", n)
	}
}

// fillWithBatch sends items of batch jobs until all are refused, and returns the number of items sent.
func fillWithBatch(p *Pool, now time.Time) (sent int) {
	for range 2000 {
		if ticket, _ := p.Pick(now, Request{Batch: true, Urgent: true}); ticket != nil {
			ticket.Started(now)
			sent++
		}
	}
	return sent
}

func TestBatchUsesTheSlotsThatLiveRequestsLeave(t *testing.T) {
	const backends, slots = 10, 8
	sentWith := map[int]int{}
	for _, liveRequests := range []int{0, 2, 4, 6} {
		p := newPoolWithoutReports(backends, slots, "a")
		shareLoads(p, at(time.Second), BackendLoad{InFlight: liveRequests}, nil)
		sent := fillWithBatch(p, at(time.Second))
		sentWith[liveRequests] = sent
		all := float64(sent+backends*liveRequests) / (backends * slots)
		if all > batchSharedBlockFraction+1.0/slots || all < 0.8 {
			t.Errorf("load at %d backends of %d slots with %d live requests each: got %.2f of the slots, want 0.8 to %.2f",
				backends, slots, liveRequests, all, batchSharedBlockFraction+1.0/slots)
		}
	}
	if sentWith[0]-sentWith[6] < 6*backends-backends {
		t.Errorf("items sent, by the number of live requests per backend: got %v, want at least %d fewer for 6 than for 0", sentWith, 6*backends-backends)
	}
}

// An item occupies a slot for as long as it runs, so batch work must not fill slots that are free of live requests only for
// a moment.
func TestBatchDoesNotUseSlotsFreeForAMoment(t *testing.T) {
	p := newPoolWithoutReports(10, 8, "a")
	shareLoads(p, at(time.Second), BackendLoad{InFlight: 6}, nil)
	shareLoads(p, at(time.Second+100*time.Millisecond), BackendLoad{}, nil)
	if sent := fillWithBatch(p, at(time.Second+100*time.Millisecond)); sent > 10*4 {
		t.Errorf("items sent right after 6 live requests at each of 10 backends of 8 slots: got %d, want at most %d", sent, 10*4)
	}
	for d := 200 * time.Millisecond; d < 4*liveFractionDecayTime; d += 100 * time.Millisecond {
		p.updateLiveFraction(at(time.Second + d))
	}
	if p.liveFraction > 0.05 {
		t.Errorf("expected fraction of live requests long after the last one: got %v, want at most 0.05", p.liveFraction)
	}
}

// The pool of a store that has just become the head of a partition knows only its own requests, and has no measured latency.
func TestBatchIsLimitedWithoutReports(t *testing.T) {
	const backends, slots = 10, 8
	for name, p := range map[string]*Pool{
		"no response yet": newTestPool(backendsOf(backends, slots, "a")),
		"no reports":      newPoolWithoutReports(backends, slots, "a"),
	} {
		sent := 0
		for i := range 2000 {
			if ticket, _ := p.Pick(at(time.Minute+time.Duration(i)*time.Millisecond), Request{Batch: true, Urgent: true}); ticket != nil {
				ticket.Started(at(time.Minute + time.Duration(i)*time.Millisecond))
				sent++
			}
		}
		if sent > backends*slots*3/8 {
			t.Errorf("%s: items at %d backends of %d slots: got %d, want at most %d", name, backends, slots, sent, backends*slots*3/8)
		}
	}
}

func TestNodesThatShareLoadsSpreadTheirRequests(t *testing.T) {
	const nodes, backends = 12, 10
	listed := backendsOf(backends, 8, "a")
	var pools []*Pool
	for i := range nodes {
		p := NewPool("s", string(rune('a'+i)), "a", uint64(i))
		p.SetBackends(listed, 0)
		completeWithoutLoad(p, at(0), 20*time.Millisecond)
		pools = append(pools, p)
	}
	counts := map[uint32]int{}
	for i := range 6 * backends {
		p := pools[i%nodes]
		p.lastRequestAt = at(time.Second)
		loads, _ := p.LocalLoads(at(time.Second), true)
		for j := range loads {
			inFlight := counts[loads[j].Backend]
			loads[j] = BackendLoad{Backend: loads[j].Backend, InFlight: inFlight, Unanswered: inFlight, Pending: float64(inFlight)}
		}
		p.SetTotalLoads(at(time.Second), loads)
		counts[mustPick(t, p, at(time.Second), Request{}).backend.key()]++
	}
	for backend, count := range counts {
		if count > 8 {
			t.Errorf("backend %d: got %d of %d requests, want at most 8", backend, count, 6*backends)
		}
	}
}
