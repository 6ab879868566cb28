package admission

import (
	"testing"
	"time"
)

// tellNothing lets every backend answer enough requests to be known as one that tells no load.
func tellNothing(p *Pool, now time.Time, latency time.Duration) {
	for range minAnswers {
		for _, b := range p.backends {
			ticket := p.ticket(now.Add(-latency), &Request{}, b)
			ticket.Done(now, OK, nil)
		}
	}
}

// newSilentPool gives a pool of a service that tells no load.
func newSilentPool(n, slots int, zones ...string) *Pool {
	p := newTestPool(backendsOf(n, slots, zones...))
	tellNothing(p, at(0), 20*time.Millisecond)
	return p
}

// share tells a pool what all nodes have: the same at each backend but those of other.
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

func TestReportNamesWhatIsNew(t *testing.T) {
	p := newSilentPool(4, 8, "a")
	if _, wanted := p.Report(at(0), true); wanted {
		t.Error("a pool that was never used reports")
	}
	ticket := mustPick(t, p, at(time.Second), Request{Batch: true})
	loads, wanted := p.Report(at(time.Second), true)
	if !wanted || len(loads) != 4 {
		t.Fatalf("complete report: %+v, wanted %v", loads, wanted)
	}
	loads, _ = p.Report(at(time.Second), false)
	if len(loads) != 1 || loads[0].InFlight != 1 || loads[0].Batch != 1 || loads[0].Unanswered != 1 || loads[0].Pending != 1 {
		t.Errorf("one item of a batch job: %+v", loads)
	}
	ticket.Done(at(1100*time.Millisecond), OK, nil)
	if loads, _ = p.Report(at(1300*time.Millisecond), false); len(loads) != 0 {
		t.Errorf("nothing is new: %+v", loads)
	}
	if _, wanted := p.Report(at(time.Second+2*reportIdle), false); wanted {
		t.Error("an idle pool reports")
	}
}

func TestBackendsThatTellTheirLoadAreNotReported(t *testing.T) {
	p := newTestPool(backendsOf(2, 8, "a"))
	tellIdle(t, p, at(0), 20*time.Millisecond)
	mustPick(t, p, at(0), Request{})
	if loads, wanted := p.Report(at(0), true); wanted {
		t.Errorf("reported: %+v", loads)
	}
}

func TestRequestsOfOtherNodesCount(t *testing.T) {
	p := newSilentPool(4, 8, "a")
	free := p.backends[2]
	share(p, at(time.Second), BackendLoad{InFlight: 30}, map[*backend]BackendLoad{free: {InFlight: 2}})
	for range 5 {
		if ticket := mustPick(t, p, at(time.Second), Request{}); ticket.backend != free {
			t.Fatal("sent to a backend that other nodes have filled")
		}
	}
	share(p, at(time.Second), BackendLoad{InFlight: 30}, nil)
	if ticket, _ := p.Pick(at(time.Second), Request{}); ticket != nil {
		t.Error("sent though all backends block")
	}
	mustPick(t, p, at(time.Second+sharedValidity), Request{}) // what was told is too old
}

func TestOwnRequestsAreNotCountedTwice(t *testing.T) {
	p := newSilentPool(1, 8, "a")
	for range 3 {
		mustPick(t, p, at(time.Second), Request{})
	}
	share(p, at(time.Second), BackendLoad{InFlight: 5, Batch: 1, Unanswered: 4, Pending: 4}, nil)
	b := p.backends[0]
	if l := b.otherNodes; l.inFlight != 2 || l.batch != 1 || l.unanswered != 1 || l.pending != 1 {
		t.Errorf("of other nodes: %+v", l)
	}
	if n := b.liveRequests(); n != 4 {
		t.Errorf("%v live requests, want 4", n)
	}
}

// fillWithBatch sends items of batch jobs until there is no room, and gives how many were sent.
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
		p := newSilentPool(backends, slots, "a")
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

// A slot that an item takes is away for as long as it runs: a moment without live requests is no reason to fill it.
func TestBatchDoesNotTakeTheRoomOfAMoment(t *testing.T) {
	p := newSilentPool(10, 8, "a")
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
func TestBatchIsCarefulWithoutNews(t *testing.T) {
	const backends, slots = 10, 8
	for name, p := range map[string]*Pool{
		"no answer yet": newTestPool(backendsOf(backends, slots, "a")),
		"no news":       newSilentPool(backends, slots, "a"),
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
		tellNothing(p, at(0), 20*time.Millisecond)
		pools = append(pools, p)
	}
	counts := map[uint32]int{}
	for i := range 6 * backends {
		p := pools[i%nodes]
		p.usedAt = at(time.Second)
		loads, _ := p.Report(at(time.Second), true)
		for j := range loads {
			held := counts[loads[j].Backend]
			loads[j] = BackendLoad{Backend: loads[j].Backend, InFlight: held, Unanswered: held, Pending: float64(held)}
		}
		p.Share(at(time.Second), loads)
		counts[mustPick(t, p, at(time.Second), Request{}).backend.key()]++
	}
	for backend, count := range counts {
		if count > 8 {
			t.Errorf("backend %d holds %d of %d requests", backend, count, 6*backends)
		}
	}
}
