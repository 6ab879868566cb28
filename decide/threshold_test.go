package decide

import (
	"fmt"
	"math"
	"sort"
	"testing"
	"time"
)

// flow feeds a module 200 requests a second. A backend holds 8 requests with its cores just busy, fewer while it is
// cold; with more it takes longer.
type flow struct {
	m       *Module
	now     Time
	due     []flowEnd
	sent    map[BackendID]int
	out     map[BackendID]float64
	started map[BackendID]Time
	late    Time // until then reports of backend 7 show none of its load
	next    int
}

type flowEnd struct {
	at Time
	e  AttemptEnded
}

const (
	flowTook = 200 * time.Millisecond
	flowFull = 8.0
	flowRate = flowFull / 0.2 // requests a second that one backend can do
)

func newFlow(backends int) *flow {
	s := Settings{Nodes: 1, MaxAttempts: 1, MinTick: 5 * time.Millisecond, ColdFrom: 0.2, ColdTime: 20 * time.Second,
		Classes: []Class{{Name: "c", Value: 1, Target: 400 * time.Millisecond, Deadline: time.Second, Effect: Safe}}}
	f := &flow{m: New(s, 1), now: time.Hour, sent: map[BackendID]int{}, out: map[BackendID]float64{},
		started: map[BackendID]Time{}}
	l := ListUpdate{Kind: ListCached}
	for i := range backends {
		l.Entries = append(l.Entries, Backend{ID: BackendID(i + 1)})
	}
	f.m.Handle(f.now, l)
	return f
}

// full is how many requests keep a backend's cores just busy.
func (f *flow) full(id BackendID) float64 {
	if at, ok := f.started[id]; ok {
		return flowFull * min(1, 0.2+0.8*(f.now-at).Seconds()/20)
	}
	return flowFull
}

// run plays some time.
func (f *flow) run(length time.Duration) {
	for end := f.now + length; f.now < end; f.now += 5 * time.Millisecond {
		sort.SliceStable(f.due, func(i, j int) bool { return f.due[i].at < f.due[j].at })
		for len(f.due) > 0 && f.due[0].at <= f.now {
			e := f.due[0].e
			e.Report = &Report{Utilisation: min(1, f.out[e.Backend]/f.full(e.Backend))}
			if e.Backend == 7 && f.now < f.late {
				e.Report.Utilisation = 0.01
			}
			f.out[e.Backend]--
			f.due = f.due[1:]
			f.m.Handle(f.now, e)
		}
		id := RequestID(fmt.Sprint(f.next))
		for _, a := range f.m.Handle(f.now, RequestArrived{ID: id, Class: "c", Patience: time.Second}) {
			if a, ok := a.(Send); ok {
				f.sent[a.Backend]++
				f.out[a.Backend]++
				took := time.Duration(float64(flowTook) * max(1, f.out[a.Backend]/f.full(a.Backend)))
				f.due = append(f.due, flowEnd{f.now + took, AttemptEnded{ID: id, Backend: a.Backend, Over: true, Elapsed: took}})
			}
		}
		if f.next++; f.next%5 == 0 {
			f.m.Handle(f.now, TimerFired{})
		}
	}
}

// A backend that chance took over H is let in again at the load that it has in ordinary work.
func TestOrdinaryLoadEndsOverload(t *testing.T) {
	for _, c := range []struct {
		part float64 // of what a backend holds with all its cores just busy
		want Mode
	}{{0.6, Normal}, {0.8, Normal}, {1.5, Overloaded}} {
		f := newFlow(6)
		f.run(30 * time.Second)
		m, b := f.m, f.m.subset[0]
		m.now = f.now
		b.mode, b.dither = Overloaded, 0.5
		b.inFlight = c.part * m.capacityOf(b) * m.uncrowdedLatency
		if got := m.modeOf(b); got != c.want {
			n, h := m.load(b)
			t.Errorf("at %.1f of a full backend's requests (n=%.1f, H=%.1f): mode %d, want %d", c.part, n, h, got, c.want)
		}
	}
}

// Cold backends get what they can do at least, also when most are cold and the warm ones refuse; and no more than
// that by much, whatever is asked for.
func TestColdBackendsAreUsed(t *testing.T) {
	f := newFlow(6)
	f.run(30 * time.Second)
	cold := ListUpdate{Kind: ListChanges, Version: 1}
	for id := BackendID(1); id <= 4; id++ {
		cold.Entries = append(cold.Entries, Backend{ID: id, StartedAt: f.now})
		f.started[id] = f.now
	}
	f.m.Handle(f.now, cold)
	clear(f.sent)
	const length = 10.0
	f.run(length * time.Second)
	can := flowRate * length * (0.2 + 0.8*length/2/20) // it warms evenly from 0.2 within 20 s
	for id := BackendID(1); id <= 4; id++ {
		if got := float64(f.sent[id]); got < can/2 || got > 1.3*can {
			t.Errorf("cold backend %d had %.0f requests in 10 s, it can do %.0f", id, got, can)
		}
	}
}

// Before a cold backend has shown what it can do, it gets more than the settings say that it can do at least, as most can
// do more and the warm ones refuse; and far less than what would make it fall.
func TestColdBackendsGetHalfOfWhatMakesThemFall(t *testing.T) {
	f := newFlow(6)
	f.m.settings.OverloadFactor, f.m.settings.OverloadTime = 3, 2*time.Second
	f.run(30 * time.Second)
	cold := ListUpdate{Kind: ListChanges, Version: 1}
	for id := BackendID(1); id <= 4; id++ {
		cold.Entries = append(cold.Entries, Backend{ID: id, StartedAt: f.now})
		f.started[id] = f.now - 5*time.Second // it starts with 0.4 of its capacity, and 0.2 is what the list says
	}
	f.m.Handle(f.now, cold)
	clear(f.sent)
	const length = 3.0
	f.run(length * time.Second)
	least := flowRate * length * (0.2 + 0.8*length/2/20)
	for id := BackendID(1); id <= 4; id++ {
		if got := float64(f.sent[id]); got < 1.2*least || got > 1.8*least {
			t.Errorf("cold backend %d had %.0f requests in 3 s; it can do %.0f at least, and falls at %.0f", id, got, least, 3*least)
		}
	}
}

// What a new backend's first reports say is late: it is of a process that had no load yet.
func TestFirstReportsAreOfIdleTime(t *testing.T) {
	f := newFlow(6)
	f.run(30 * time.Second)
	f.m.Handle(f.now, ListUpdate{Kind: ListChanges, Version: 1, Entries: []Backend{{ID: 7}}})
	f.late = f.now + time.Second
	for range 8 {
		f.run(500 * time.Millisecond)
		b := f.m.backends[7]
		if b.answerRate == 0 {
			t.Fatal("the new backend has no requests")
		}
		if got := f.m.capacityOf(b); got > 2*flowRate {
			t.Errorf("%v after its start it is said to do %.0f requests a second, it can do %.0f", f.now-b.firstSeen, got, flowRate)
		}
		if got := f.m.fleetCapacity; got > 1.5*flowRate {
			t.Errorf("%v after its start the mean backend is said to do %.0f requests a second, it can do %.0f", f.now-b.firstSeen, got, flowRate)
		}
	}
}

// A node that starts amid a release has no warm backend to go by: what the cold ones report has to do.
func TestAllColdAreUsedAsTheyWarm(t *testing.T) {
	f := newFlow(6)
	l := ListUpdate{Kind: ListFull, Version: 1}
	for id := BackendID(1); id <= 6; id++ {
		l.Entries = append(l.Entries, Backend{ID: id, StartedAt: f.now})
		f.started[id] = f.now
	}
	f.m.Handle(f.now, l)
	f.run(10 * time.Second)
	clear(f.sent)
	f.run(5 * time.Second)
	can := 5 * flowRate * (0.2 + 0.8*12.5/20)
	for id := BackendID(1); id <= 6; id++ {
		if got := float64(f.sent[id]); got < can/2 || got > 1.3*can {
			t.Errorf("backend %d had %.0f requests from 10 s to 15 s after its start, it can do %.0f", id, got, can)
		}
	}
}

// One of two nodes that has so far sent a small part of the requests counts half of what backends can do as its own:
// their cores are busy with the other's.
func TestSmallShareKeepsNoNodeSmall(t *testing.T) {
	for _, c := range []struct{ share, want float64 }{{0.5, 0.5}, {0.25, 0.5}, {0.8, 0.8}} {
		s := Settings{Nodes: 2, MaxAttempts: 1, Classes: []Class{{Name: "c", Value: 1, Target: time.Second, Effect: Safe}}}
		m := New(s, 1)
		m.Handle(time.Hour, ListUpdate{Kind: ListCached, Entries: []Backend{{ID: 1}}})
		const total = 100.0 // requests a second that the backend can do; half of that is asked of it
		sv := m.backends[1]
		m.now, m.trafficShare = time.Hour+time.Minute, c.share
		sv.answerRate, sv.answerRateAt, sv.utilisation, sv.utilisationAt = c.share*total/2, m.now, 0.5, m.now
		if got := m.capacityOf(sv); math.Abs(got-c.want*total) > 1 {
			t.Errorf("with %.2f of all requests the node counts %.0f of the backend's %.0f as its own, want %.0f", c.share, got, total, c.want*total)
		}
	}
}
