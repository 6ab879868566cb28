package admission

import (
	"testing"
	"time"
)

// answerWithoutLoad has every backend answer enough requests to be known as one that does not report its load.
func answerWithoutLoad(p *Pool, now time.Time, latency time.Duration) {
	for range minAnswers {
		for _, b := range p.backends {
			ticket := p.ticket(now.Add(-latency), &Request{}, b)
			ticket.Done(now, OK, nil)
		}
	}
}

// newUnreportedPool returns the pool of a service whose backends do not report their load.
func newUnreportedPool(n, slots int, zones ...string) *Pool {
	p := newTestPool(backendsOf(n, slots, zones...))
	answerWithoutLoad(p, at(0), 20*time.Millisecond)
	return p
}

// share passes the loads of all nodes to a pool: the same for each backend but those in other.
func share(p *Pool, now time.Time, all BackendLoad, other map[*backend]BackendLoad) {
	p.usedAt = now
	loads, _ := p.Report(now, true)
	for i := range loads {
		l, ok := other[p.byKey[loads[i].Backend]]
		if !ok {
			l = all
		}
		l.Backend = loads[i].Backend
		loads[i] = l
	}
	p.Share(now, loads)
}

func TestReport(t *testing.T) {
	p := newUnreportedPool(4, 8, "a")
	if _, needed := p.Report(at(0), true); needed {
		t.Error("a pool that was never used reports")
	}
	ticket := mustPick(t, p, at(time.Second), Request{Batch: true})
	loads, needed := p.Report(at(time.Second), true)
	if !needed || len(loads) != 4 {
		t.Fatalf("complete report: %+v, needed %v", loads, needed)
	}
	loads, _ = p.Report(at(time.Second), false)
	if len(loads) != 1 || loads[0].InFlight != 1 || loads[0].Batch != 1 || loads[0].Unanswered != 1 || loads[0].Pending != 1 {
		t.Errorf("one item of a batch job: %+v", loads)
	}
	ticket.Done(at(1100*time.Millisecond), OK, nil)
	if loads, _ = p.Report(at(1300*time.Millisecond), false); len(loads) != 0 {
		t.Errorf("nothing is new: %+v", loads)
	}
	if _, needed := p.Report(at(time.Second+2*reportIdle), false); needed {
		t.Error("an idle pool reports")
	}
}

func TestBackendsThatReportTheirLoadNeedNoReport(t *testing.T) {
	p := newTestPool(backendsOf(2, 8, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	mustPick(t, p, at(0), Request{})
	if loads, needed := p.Report(at(0), true); needed {
		t.Errorf("reported: %+v", loads)
	}
}

func TestRequestsOfOtherNodesCount(t *testing.T) {
	p := newUnreportedPool(4, 8, "a")
	free := p.backends[2]
	share(p, at(time.Second), BackendLoad{InFlight: 30}, map[*backend]BackendLoad{free: {InFlight: 2}})
	for range 5 {
		if ticket := mustPick(t, p, at(time.Second), Request{}); ticket.backend != free {
			t.Fatal("picked a backend that other nodes have filled")
		}
	}
	share(p, at(time.Second), BackendLoad{InFlight: 30}, nil)
	if ticket, _ := p.Pick(at(time.Second), Request{}); ticket != nil {
		t.Error("picked a backend though all of them block")
	}
	mustPick(t, p, at(time.Second+sharedValidity), Request{}) // the shared loads are too old
}

func TestOwnRequestsAreNotCountedTwice(t *testing.T) {
	p := newUnreportedPool(1, 8, "a")
	for range 3 {
		mustPick(t, p, at(time.Second), Request{})
	}
	share(p, at(time.Second), BackendLoad{InFlight: 5, Batch: 1, Unanswered: 4, Pending: 4}, nil)
	b := p.backends[0]
	if l := b.otherNodes; l.inFlight != 2 || l.batch != 1 || l.unanswered != 1 || l.pending != 1 {
		t.Errorf("load of other nodes: got %+v, want 2 in flight, 1 batch, 1 unanswered, 1 pending", l)
	}
	if n := b.liveRequests(); n != 4 {
		t.Errorf("live requests: got %v, want 4", n)
	}
}

// fillWithBatch sends items of batch jobs until there is no room, and returns how many were sent.
func fillWithBatch(p *Pool, now time.Time) (sent int) {
	for range 2000 {
		if ticket, _ := p.Pick(now, Request{Batch: true, Urgent: true}); ticket != nil {
			ticket.Started(now)
			sent++
		}
	}
	return sent
}

func TestBatchTakesTheRoomThatLiveRequestsLeave(t *testing.T) {
	const backends, slots = 10, 8
	sentWith := map[int]int{}
	for _, liveRequests := range []int{0, 2, 4, 6} {
		p := newUnreportedPool(backends, slots, "a")
		share(p, at(time.Second), BackendLoad{InFlight: liveRequests}, nil)
		sent := fillWithBatch(p, at(time.Second))
		sentWith[liveRequests] = sent
		all := float64(sent+backends*liveRequests) / (backends * slots)
		if all > batchSharedBlockFraction+1.0/slots || all < 0.8 {
			t.Errorf("%d items beside %d live requests at %d backends of %d slots", sent, liveRequests, backends, slots)
		}
	}
	if sentWith[0]-sentWith[6] < 6*backends-backends {
		t.Errorf("the room does not follow the live requests: %v", sentWith)
	}
}

// A slot that an item takes is taken for as long as the item runs: a moment without live requests is no reason to fill it.
func TestBatchDoesNotTakeRoomThatIsFreeForAMoment(t *testing.T) {
	p := newUnreportedPool(10, 8, "a")
	share(p, at(time.Second), BackendLoad{InFlight: 6}, nil)
	share(p, at(time.Second+100*time.Millisecond), BackendLoad{}, nil)
	if sent := fillWithBatch(p, at(time.Second+100*time.Millisecond)); sent > 10*4 {
		t.Errorf("%d items right after 6 live requests at each backend of 8 slots", sent)
	}
	for d := 200 * time.Millisecond; d < 4*liveFractionMemory; d += 100 * time.Millisecond {
		p.updateLiveFraction(at(time.Second + d))
	}
	if p.liveFraction > 0.05 {
		t.Errorf("live requests are expected to take %v of the slots long after the last one", p.liveFraction)
	}
}

// The pool of a store that has just become the head knows of no requests but its own, and not even how long an answer takes.
func TestBatchIsCarefulWithoutReports(t *testing.T) {
	const backends, slots = 10, 8
	for name, p := range map[string]*Pool{
		"no answer yet": newTestPool(backendsOf(backends, slots, "a")),
		"no reports":    newUnreportedPool(backends, slots, "a"),
	} {
		sent := 0
		for i := range 2000 {
			if ticket, _ := p.Pick(at(time.Minute+time.Duration(i)*time.Millisecond), Request{Batch: true, Urgent: true}); ticket != nil {
				ticket.Started(at(time.Minute + time.Duration(i)*time.Millisecond))
				sent++
			}
		}
		if sent > backends*slots*3/8 {
			t.Errorf("%s: %d items at %d backends of %d slots", name, sent, backends, slots)
		}
	}
}

func TestNodesThatShareDoNotHerd(t *testing.T) {
	const nodes, backends = 12, 10
	listed := backendsOf(backends, 8, "a")
	var pools []*Pool
	for i := range nodes {
		p := NewPool("s", string(rune('a'+i)), "a", uint64(i))
		p.SetBackends(listed, 0)
		answerWithoutLoad(p, at(0), 20*time.Millisecond)
		pools = append(pools, p)
	}
	counts := map[uint32]int{}
	for i := range 6 * backends {
		p := pools[i%nodes]
		p.usedAt = at(time.Second)
		loads, _ := p.Report(at(time.Second), true)
		for j := range loads {
			inFlight := counts[loads[j].Backend]
			loads[j] = BackendLoad{Backend: loads[j].Backend, InFlight: inFlight, Unanswered: inFlight, Pending: float64(inFlight)}
		}
		p.Share(at(time.Second), loads)
		counts[mustPick(t, p, at(time.Second), Request{}).backend.key()]++
	}
	for backend, count := range counts {
		if count > 8 {
			t.Errorf("backend %d: got %d of %d requests, want at most 8", backend, count, 6*backends)
		}
	}
}
