package admission

import (
	"testing"
	"time"

	"nickelline/decide"
)

// overloadAll records a report with the load at every backend.
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
		t.Errorf("batch work: got %d refused, %d sent, want at least as many refused as sent", refused[batch], sent[batch])
	}
	if refused[live] > sent[live]/10 {
		t.Errorf("live requests: got %d refused, %d sent, want at most a tenth of those sent refused", refused[live], sent[live])
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
		t.Errorf("live requests refused: got %d of %d, want %d to %d", refused, total, total/2, total*9/10)
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
