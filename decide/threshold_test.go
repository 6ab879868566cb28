package decide

import (
	"fmt"
	"math"
	"sort"
	"testing"
	"time"
)

// trafficFixture feeds a module 200 requests per second. A backend has all its cores just busy with 8 requests, fewer
// while it is cold; with more requests its latency grows.
type trafficFixture struct {
	m          *Module
	now        Time
	due        []attemptEnd
	sent       map[BackendID]int
	inFlight   map[BackendID]float64
	started    map[BackendID]Time
	staleUntil Time // until then reports of backend 7 show an idle process
	next       int
}

type attemptEnd struct {
	at Time
	e  AttemptEnded
}

const (
	backendLatency    = 200 * time.Millisecond
	backendSaturation = 8.0
	backendRate       = backendSaturation / 0.2 // requests per second that one backend can do
)

func newTrafficFixture(backends int) *trafficFixture {
	s := Settings{Nodes: 1, MaxAttempts: 1, MinTick: 5 * time.Millisecond, ColdStartShare: 0.2, WarmUpTime: 20 * time.Second,
		Classes: []Class{{Name: "c", Value: 1, Target: 400 * time.Millisecond, Deadline: time.Second, Effect: Safe}}}
	f := &trafficFixture{m: New(s, 1), now: time.Hour, sent: map[BackendID]int{}, inFlight: map[BackendID]float64{},
		started: map[BackendID]Time{}}
	l := ListUpdate{Kind: ListCached}
	for i := range backends {
		l.Entries = append(l.Entries, Backend{ID: BackendID(i + 1)})
	}
	f.m.Handle(f.now, l)
	return f
}

// saturation returns how many requests keep a backend's cores just busy.
func (f *trafficFixture) saturation(id BackendID) float64 {
	if at, ok := f.started[id]; ok {
		return backendSaturation * min(1, 0.2+0.8*(f.now-at).Seconds()/20)
	}
	return backendSaturation
}

// run simulates a stretch of time.
func (f *trafficFixture) run(length time.Duration) {
	for end := f.now + length; f.now < end; f.now += 5 * time.Millisecond {
		sort.SliceStable(f.due, func(i, j int) bool { return f.due[i].at < f.due[j].at })
		for len(f.due) > 0 && f.due[0].at <= f.now {
			e := f.due[0].e
			e.Report = &Report{Utilisation: min(1, f.inFlight[e.Backend]/f.saturation(e.Backend))}
			if e.Backend == 7 && f.now < f.staleUntil {
				e.Report.Utilisation = 0.01
			}
			f.inFlight[e.Backend]--
			f.due = f.due[1:]
			f.m.Handle(f.now, e)
		}
		id := RequestID(fmt.Sprint(f.next))
		for _, a := range f.m.Handle(f.now, RequestArrived{ID: id, Class: "c", Patience: time.Second}) {
			if a, ok := a.(Send); ok {
				f.sent[a.Backend]++
				f.inFlight[a.Backend]++
				took := time.Duration(float64(backendLatency) * max(1, f.inFlight[a.Backend]/f.saturation(a.Backend)))
				f.due = append(f.due, attemptEnd{f.now + took, AttemptEnded{ID: id, Backend: a.Backend, RequestAnswered: true, Elapsed: took}})
			}
		}
		if f.next++; f.next%5 == 0 {
			f.m.Handle(f.now, TimerFired{})
		}
	}
}

// A backend that chance took over H becomes normal again at the load of ordinary work.
func TestOrdinaryLoadEndsOverload(t *testing.T) {
	for _, c := range []struct {
		part float64 // of the requests that keep a backend's cores just busy
		want Mode
	}{{0.6, Normal}, {0.8, Normal}, {1.5, Overloaded}} {
		f := newTrafficFixture(6)
		f.run(30 * time.Second)
		m, b := f.m, f.m.subset[0]
		m.now = f.now
		b.mode, b.dither = Overloaded, 0.5
		b.inFlight = c.part * m.capacityOf(b) * m.baselineLatency
		if got := m.modeOf(b); got != c.want {
			n, h := m.load(b)
			t.Errorf("at %.1f of the requests of a saturated backend (n=%.1f, H=%.1f): got mode %d, want %d", c.part, n, h, got, c.want)
		}
	}
}

// Cold backends get roughly what they can do (half of it to 1.3 times), whatever the demand, also when most backends are
// cold and the warm ones refuse.
func TestColdBackendsAreUsed(t *testing.T) {
	f := newTrafficFixture(6)
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
	can := backendRate * length * (0.2 + 0.8*length/2/20) // it warms evenly from 0.2 within 20 s
	for id := BackendID(1); id <= 4; id++ {
		if got := float64(f.sent[id]); got < can/2 || got > 1.3*can {
			t.Errorf("cold backend %d got %.0f requests in 10 s, it can do %.0f", id, got, can)
		}
	}
}

// Before a cold backend has shown what it can do, it gets more than the minimum that the settings give, as most can do
// more and the warm ones refuse, and far less than the load that makes it fall over.
func TestColdBackendsGetHalfOfFatalLoad(t *testing.T) {
	f := newTrafficFixture(6)
	f.m.settings.OverloadFactor, f.m.settings.OverloadTime = 3, 2*time.Second
	f.run(30 * time.Second)
	cold := ListUpdate{Kind: ListChanges, Version: 1}
	for id := BackendID(1); id <= 4; id++ {
		cold.Entries = append(cold.Entries, Backend{ID: id, StartedAt: f.now})
		f.started[id] = f.now - 5*time.Second // it starts with 0.4 of its capacity, while its list entry implies 0.2
	}
	f.m.Handle(f.now, cold)
	clear(f.sent)
	const length = 3.0
	f.run(length * time.Second)
	least := backendRate * length * (0.2 + 0.8*length/2/20)
	for id := BackendID(1); id <= 4; id++ {
		if got := float64(f.sent[id]); got < 1.2*least || got > 1.8*least {
			t.Errorf("cold backend %d got %.0f requests in 3 s; it can do at least %.0f, and falls over at %.0f", id, got, least, 3*least)
		}
	}
}

// The first reports of a new backend lag: they are of a process that had no load yet.
func TestFirstReportsDoNotInflateCapacity(t *testing.T) {
	f := newTrafficFixture(6)
	f.run(30 * time.Second)
	f.m.Handle(f.now, ListUpdate{Kind: ListChanges, Version: 1, Entries: []Backend{{ID: 7}}})
	f.staleUntil = f.now + time.Second
	for range 8 {
		f.run(500 * time.Millisecond)
		b := f.m.backends[7]
		if b.answerRate == 0 {
			t.Fatal("the new backend has no requests")
		}
		if got := f.m.capacityOf(b); got > 2*backendRate {
			t.Errorf("%v after its start: got capacity %.0f requests per second, it can do %.0f", f.now-b.firstSeen, got, backendRate)
		}
		if got := f.m.meanCapacity; got > 1.5*backendRate {
			t.Errorf("%v after its start: got capacity %.0f requests per second of the mean backend, it can do %.0f", f.now-b.firstSeen, got, backendRate)
		}
	}
}

// A node that starts during a release has no warm backend to compare with: it must go by the reports of the cold ones.
func TestAllColdBackendsAreUsedAsTheyWarm(t *testing.T) {
	f := newTrafficFixture(6)
	l := ListUpdate{Kind: ListFull, Version: 1}
	for id := BackendID(1); id <= 6; id++ {
		l.Entries = append(l.Entries, Backend{ID: id, StartedAt: f.now})
		f.started[id] = f.now
	}
	f.m.Handle(f.now, l)
	f.run(10 * time.Second)
	clear(f.sent)
	f.run(5 * time.Second)
	can := 5 * backendRate * (0.2 + 0.8*12.5/20)
	for id := BackendID(1); id <= 6; id++ {
		if got := float64(f.sent[id]); got < can/2 || got > 1.3*can {
			t.Errorf("backend %d got %.0f requests from 10 s to 15 s after its start, it can do %.0f", id, got, can)
		}
	}
}

// One of two nodes that has so far sent a small share of the requests counts half of a backend's capacity as its own:
// the cores are busy with the other node's requests.
func TestSmallShareCountsAsEvenShare(t *testing.T) {
	for _, c := range []struct{ share, want float64 }{{0.5, 0.5}, {0.25, 0.5}, {0.8, 0.8}} {
		s := Settings{Nodes: 2, MaxAttempts: 1, Classes: []Class{{Name: "c", Value: 1, Target: time.Second, Effect: Safe}}}
		m := New(s, 1)
		m.Handle(time.Hour, ListUpdate{Kind: ListCached, Entries: []Backend{{ID: 1}}})
		const total = 100.0 // requests per second that the backend can do; it gets half of them
		b := m.backends[1]
		m.now, m.trafficShare = time.Hour+time.Minute, c.share
		b.answerRate, b.answerRateAt, b.utilisation, b.utilisationAt = c.share*total/2, m.now, 0.5, m.now
		if got := m.capacityOf(b); math.Abs(got-c.want*total) > 1 {
			t.Errorf("with a share of %.2f of all requests: got capacity %.0f of the backend's %.0f, want %.0f", c.share, got, total, c.want*total)
		}
	}
}
