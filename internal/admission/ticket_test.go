package admission

import (
	"testing"
	"time"
)

func TestReportOfAStreamIsAsOfItsFirstByte(t *testing.T) {
	p := newTestPool(backendsOf(1, 16, "a"))
	stream := mustPick(t, p, at(0), Request{})
	stream.Started(at(time.Second))
	later := mustPick(t, p, at(2*time.Second), Request{})
	later.Done(at(3*time.Second), OK, &Load{Running: 9, Slots: 16})
	stream.Done(at(4*time.Second), OK, &Load{Running: 2, Slots: 16})
	if b := p.backends[0]; b.othersInFlight != 7 || !b.reportedAt.Equal(at(3*time.Second)) {
		t.Errorf("others: got %v as of %v, want 7 as of 3s, from the newer report", b.othersInFlight, b.reportedAt.Sub(start))
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
