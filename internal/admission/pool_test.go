package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"nickelline/decide"
	"nickelline/internal/discovery"
)

var start = time.Now()

func at(d time.Duration) time.Time { return start.Add(d) }

// backendsOf returns n backends with some slots, spread over the zones in turn.
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

// reportIdleLoads has every backend answer enough requests, each within the latency, to be known as idle.
func reportIdleLoads(t *testing.T, p *Pool, now time.Time, latency time.Duration) {
	t.Helper()
	for range minAnswers {
		for _, b := range p.backends {
			ticket := p.ticket(now.Add(-latency), &Request{}, b)
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

func TestModesAtTheEdges(t *testing.T) {
	p := newTestPool(backendsOf(1, 10, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	b := p.backends[0]
	limits := thresholds{low: 8, high: 10, block: 25}
	for _, c := range []struct {
		load float64
		want decide.Mode
	}{
		{9, decide.Normal}, {9.1, decide.Overloaded}, {8, decide.Overloaded}, {7.9, decide.Normal},
		{9.5, decide.Overloaded}, {24, decide.Overloaded}, {24.1, decide.Blocking},
		{11, decide.Blocking}, {10.9, decide.Overloaded}, {7, decide.Normal},
	} {
		if got := b.nextMode(at(0), live, limits, c.load); got != c.want {
			t.Errorf("mode at load %v: got %v, want %v", c.load, got, c.want)
		}
	}
}

func TestThresholdsAreOrdered(t *testing.T) {
	p := newTestPool(nil)
	p.uncrowded = 0.02
	for _, slots := range []int{1, 2, 6, 16, 96} {
		b := newBackend(discovery.Backend{ID: "x"}, "a")
		b.update(discovery.Backend{ID: "x", Slots: slots}, 0)
		for n := 0.0; n < 4*float64(slots); n++ {
			for _, latency := range []float64{0, 0.02, 0.1, 0.5, 5} {
				for c := range classes {
					l := p.thresholdsOf(at(0), b, c, n, latency)
					if !(l.low < l.high && l.high < l.block) {
						t.Fatalf("%d slots, n=%v, latency %v, class %v: %+v", slots, n, latency, c, l)
					}
				}
				l := p.thresholdsOf(at(0), b, live, n, latency)
				if slots <= steadySlots && l.high != float64(slots) {
					t.Fatalf("%d slots: H of live requests is %v", slots, l.high)
				}
			}
		}
	}
}

func TestFullAnswerBlocksUntilItLapses(t *testing.T) {
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

func TestBlockingBackendsGetNothing(t *testing.T) {
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
		t.Error("did not pick the backend that has room")
	}
}

// TestNoRefusalWithFreeSlots fills backends one request at a time.
func TestNoRefusalWithFreeSlots(t *testing.T) {
	for _, slots := range []int{6, 16} {
		p := newTestPool(backendsOf(9, slots, "a", "b", "c"))
		reportIdleLoads(t, p, at(0), 20*time.Millisecond)
		for range 9 * slots {
			mustPick(t, p, at(time.Millisecond), Request{})
		}
	}
}

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
	for range 10 { // (n+1) x latency of the quick one is now higher
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

// overloadAll records a load between H and R at every backend.
func overloadAll(p *Pool, now time.Time, l Load) {
	for _, b := range p.backends {
		b.recordLoad(now, 0, &l)
		p.recordOthers(now, b)
	}
}

func TestBatchWorkIsShedFirst(t *testing.T) {
	p := newTestPool(backendsOf(6, 16, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	refused, sent := [classes]int{}, [classes]int{}
	for i := range 4000 {
		now := at(time.Duration(i) * time.Millisecond)
		overloadAll(p, now, Load{Running: 16, Waiting: 8, Slots: 16})
		r := Request{Batch: i%2 == 0}
		ticket, _ := p.Pick(now, r)
		if ticket == nil {
			refused[classOf(&r)]++
			continue
		}
		sent[classOf(&r)]++
		ticket.Done(now, Cancelled, nil)
	}
	if refused[batch] < sent[batch] {
		t.Errorf("batch work: %d refused, %d sent", refused[batch], sent[batch])
	}
	if refused[live] > sent[live]/10 {
		t.Errorf("live requests: %d refused, %d sent", refused[live], sent[live])
	}
}

func TestLiveRequestsAreShedDeepInOverload(t *testing.T) {
	p := newTestPool(backendsOf(6, 16, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	refused := 0
	const total = 4000
	for i := range total {
		now := at(time.Duration(i) * time.Millisecond)
		overloadAll(p, now, Load{Running: 16, Waiting: 16, Slots: 16})
		ticket, _ := p.Pick(now, Request{})
		if ticket == nil {
			refused++
			continue
		}
		ticket.Done(now, Cancelled, nil)
	}
	if refused < total/2 || refused > total*9/10 {
		t.Errorf("%d of %d live requests refused", refused, total)
	}
}

func TestDropFractionsFollowTheCounts(t *testing.T) {
	p := newTestPool(nil)
	s := &p.shedding
	s.periodEnd = at(0)
	s.arrivals = [classes]float64{live: 30, batch: 10}
	s.overloadDepth[live].add(0.5)
	p.updateDropFractions(at(0))
	q1, q2 := decide.ShedSplit(0.5, 30, 10)
	if s.dropFractions[live] != q1 || s.dropFractions[batch] != q2 {
		t.Errorf("q1 and q2: got %v and %v, want %v and %v", s.dropFractions[live], s.dropFractions[batch], q1, q2)
	}
	s.overloadDepth[live].add(1)
	p.updateDropFractions(at(forcedBlockTime + recomputePeriod + time.Millisecond))
	if s.dropFractions[live] != 0 || s.dropFractions[batch] != 0 {
		t.Errorf("drop fractions after an old overload: got %v, want none", s.dropFractions)
	}
}

func TestOwnZoneIsPreferredUnlessMuchBusier(t *testing.T) {
	p := newTestPool(backendsOf(9, 96, "a", "b", "c"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	for range 100 {
		ticket := mustPick(t, p, at(0), Request{})
		if !ticket.backend.sameZone {
			t.Fatal("picked another zone though the own zone has an idle backend")
		}
		ticket.Done(at(0), Cancelled, nil)
	}
	for _, b := range p.backends {
		if b.sameZone {
			b.recordLoad(at(0), 0, &Load{Running: 80, Slots: 96})
		}
	}
	if ticket := mustPick(t, p, at(0), Request{}); ticket.backend.sameZone {
		t.Error("picked a busy backend of the own zone though other zones have idle ones")
	}
}

func TestExcludedBackendsAreNotPicked(t *testing.T) {
	p := newTestPool(backendsOf(3, 6, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	exclude := func(id string) bool { return id != "i-0002" }
	for range 20 {
		ticket := mustPick(t, p, at(0), Request{Exclude: exclude})
		if ticket.Backend.ID != "i-0002" {
			t.Fatalf("picked %s", ticket.Backend.ID)
		}
		ticket.Done(at(0), Cancelled, nil)
	}
	if ticket, _ := p.Pick(at(0), Request{Exclude: func(string) bool { return true }}); ticket != nil {
		t.Error("picked an excluded backend")
	}
}

func TestSharedPrefixesStayTogether(t *testing.T) {
	p := newTestPool(backendsOf(9, 96, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	backendsBySession := map[string]map[string]bool{}
	for i := range 4000 {
		session := fmt.Sprintf("session-%d", i%40)
		ticket := mustPick(t, p, at(0), Request{Prefix: []string{"system", session, fmt.Sprintf("own-%d", i)}})
		if i >= 400 {
			if backendsBySession[session] == nil {
				backendsBySession[session] = map[string]bool{}
			}
			backendsBySession[session][ticket.Backend.ID] = true
		}
		ticket.Done(at(0), Cancelled, nil)
	}
	total := 0
	for _, backends := range backendsBySession {
		total += len(backends)
	}
	if mean := float64(total) / float64(len(backendsBySession)); mean > 1.5 {
		t.Errorf("a session is read by %.1f idle backends on average", mean)
	}
}

func TestPrefixDoesNotOverloadOneBackend(t *testing.T) {
	p := newTestPool(backendsOf(9, 96, "a"))
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	counts := map[string]int{}
	for range 360 {
		counts[mustPick(t, p, at(0), Request{Prefix: []string{"one"}}).Backend.ID]++
	}
	for id, count := range counts {
		if count > 100 {
			t.Errorf("%s: got %d of 360 requests with the same prefix, want at most 100", id, count)
		}
	}
}

func TestSegmentMemoryIsBounded(t *testing.T) {
	m := newSegmentMemory()
	for i := range uint64(5 * rememberedSegments) {
		m.record(i + 1)
	}
	if kept := len(m.recent) + len(m.older); kept > 2*rememberedSegments {
		t.Errorf("remembered segments: got %d, want at most %d", kept, 2*rememberedSegments)
	}
	if !m.record(5 * rememberedSegments) {
		t.Error("the last segment is not remembered")
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

func TestStartIsCautious(t *testing.T) {
	p := newTestPool(backendsOf(3, 16, "a"))
	for range 3 * 8 { // half of the slots: no refusal, though nothing is known
		mustPick(t, p, at(0), Request{})
	}
	sent := 3 * 8
	for range 200 {
		if ticket, _ := p.Pick(at(0), Request{}); ticket != nil {
			sent++
		}
	}
	if sent > 3*40 {
		t.Errorf("%d requests sent to three backends of 16 slots before any answer", sent)
	}
}

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

func TestStartDoesNotBlockForever(t *testing.T) {
	p := newTestPool(backendsOf(3, 96, "a"))
	_, _ = p.Pick(at(0), Request{Batch: true})
	mustPick(t, p, at(startupMemory), Request{Batch: true})
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

func TestSetBackendsKeepsState(t *testing.T) {
	backends := backendsOf(4, 6, "a")
	p := newTestPool(backends)
	reportIdleLoads(t, p, at(0), 20*time.Millisecond)
	ticket := mustPick(t, p, at(0), Request{})
	kept := ticket.backend
	p.SetBackends(append([]discovery.Backend{}, ticket.Backend), 0)
	if len(p.backends) != 1 || p.backends[0] != kept || kept.inFlight != 1 {
		t.Error("a new list forgot a backend that stays")
	}
	p.SetBackends(nil, 0)
	ticket.Done(at(0), OK, nil) // must not panic
	if got, _ := p.Pick(at(0), Request{}); got != nil {
		t.Error("picked from an empty list")
	}
}

func TestLoadOfAStreamIsAsOfItsBeginning(t *testing.T) {
	p := newTestPool(backendsOf(1, 16, "a"))
	stream := mustPick(t, p, at(0), Request{})
	stream.Started(at(time.Second))
	later := mustPick(t, p, at(2*time.Second), Request{})
	later.Done(at(3*time.Second), OK, &Load{Running: 9, Slots: 16})
	stream.Done(at(4*time.Second), OK, &Load{Running: 2, Slots: 16})
	if b := p.backends[0]; b.othersInFlight != 7 || !b.reportedAt.Equal(at(3*time.Second)) {
		t.Errorf("others: got %v as of %v, want 7 as of 3s: an old report replaced a newer one", b.othersInFlight, b.reportedAt.Sub(start))
	}
}

func TestDoneTwiceCountsOnce(t *testing.T) {
	p := newTestPool(backendsOf(1, 6, "a"))
	ticket := mustPick(t, p, at(0), Request{})
	ticket.Done(at(0), OK, nil)
	ticket.Done(at(0), Failed, nil)
	if b := p.backends[0]; b.inFlight != 0 || b.unanswered != 0 || b.weight != 0 {
		t.Errorf("got %d in flight, %d unanswered, weight %v, want none", b.inFlight, b.unanswered, b.weight)
	}
}

func TestColdBackendsGetLess(t *testing.T) {
	backends := backendsOf(4, 96, "a")
	backends[0].Cold = 10 * time.Second
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
