package decide_test

import (
	"fmt"
	"testing"
	"time"

	"nickelline/decide"
)

// A backend that stops answering gets few requests, and they are answered elsewhere, also while the list is
// unavailable. When it answers again, its load rises slowly, as it may be cold.
func TestUnresponsiveBackendWhileListIsDown(t *testing.T) {
	s := fixtureSettings()
	s.ListOnRequest = true
	r := newModuleFixture(t, s, 5)
	r.run(5*time.Second, 100, "cheap")
	quick := r.delay
	r.delay = func(id decide.BackendID) (time.Duration, decide.OutcomeCode) {
		if id == 3 {
			return time.Hour, decide.TimedOut
		}
		return quick(id)
	}
	r.reset()
	r.run(6*time.Second, 100, "cheap")
	if r.sent[3] > 25 || r.failed > 0 || r.refused > 5 {
		t.Errorf("unresponsive backend got %d requests, %d failed, %d refused", r.sent[3], r.failed, r.refused)
	}
	if r.subscriptions < 3 {
		t.Errorf("the list was requested only %d times", r.subscriptions)
	}
	r.delay = quick
	r.reset()
	r.run(3*time.Second, 100, "cheap")
	early := r.sent[3]
	r.run(9*time.Second, 100, "cheap")
	r.reset()
	r.run(5*time.Second, 100, "cheap")
	if early > 50 || r.sent[3] < 60 {
		t.Errorf("answering again: got %d sends in the first 3 s and %d in 5 s once warm, want at most 50 and at least 60", early, r.sent[3])
	}
}

// An unsafe request at a backend that does not answer is failed at its deadline, never repeated and never refused.
func TestUnsafeTimeOutFails(t *testing.T) {
	r := newModuleFixture(t, fixtureSettings(), 3)
	r.delay = func(decide.BackendID) (time.Duration, decide.OutcomeCode) { return time.Hour, decide.TimedOut }
	r.run(5*time.Millisecond, 200, "unsafe")
	r.run(3*time.Second, 0, "unsafe")
	if n := r.sent[1] + r.sent[2] + r.sent[3]; n != 1 || r.failed != 1 || r.refused != 0 {
		t.Errorf("%d sends, %d failed, %d refused; want 1, 1, 0", n, r.failed, r.refused)
	}
}

// Checks for each effect whether a request is sent again after outcomes that leave open whether it ran, and after one
// that proves that it never ran.
func TestFurtherAttemptsByEffect(t *testing.T) {
	for _, c := range []struct {
		class string
		code  decide.OutcomeCode
		again bool
	}{{"cheap", decide.BackendError, true}, {"cheap", decide.ConnectFailed, true}, {"unsafe", decide.BackendError, false},
		{"unsafe", decide.Reset, false}, {"unsafe", decide.ConnectFailed, true}, {"unsafe", decide.Full, true}} {
		r := newModuleFixture(t, fixtureSettings(), 3)
		r.run(3*time.Second, 100, "cheap")
		r.run(time.Second, 0, "cheap")
		r.reset()
		first := true
		r.delay = func(decide.BackendID) (time.Duration, decide.OutcomeCode) {
			if first {
				first = false
				return 10 * time.Millisecond, c.code
			}
			return 50 * time.Millisecond, decide.OK
		}
		r.run(5*time.Millisecond, 200, c.class)
		r.run(time.Second, 0, c.class)
		if n := r.sent[1] + r.sent[2] + r.sent[3]; (n == 2) != c.again || (r.failed == 1) == c.again {
			t.Errorf("%s after code %d: got %d sends, %d failed", c.class, c.code, n, r.failed)
		}
	}
}

// A backend that fails fast must not attract traffic by its short latency.
func TestFastFailingBackendAttractsNoTraffic(t *testing.T) {
	r := newModuleFixture(t, fixtureSettings(), 4)
	r.delay = func(id decide.BackendID) (time.Duration, decide.OutcomeCode) {
		if id == 2 {
			return time.Millisecond, decide.BackendError
		}
		return 50 * time.Millisecond, decide.OK
	}
	r.run(10*time.Second, 100, "cheap")
	if r.sent[2] > 60 {
		t.Errorf("%d of %d sends went to the backend that fails", r.sent[2], r.sent[1]+r.sent[2]+r.sent[3]+r.sent[4])
	}
}

// When all backends slow down at once, none is made a suspect: each keeps as many requests in flight as before.
func TestFleetWideSlowdownMakesNoSuspects(t *testing.T) {
	r := newModuleFixture(t, fixtureSettings(), 4)
	r.run(5*time.Second, 80, "cheap")
	r.delay = func(decide.BackendID) (time.Duration, decide.OutcomeCode) { return 150 * time.Millisecond, decide.OK }
	r.reset()
	r.run(5*time.Second, 80, "cheap")
	if r.backendLines > 0 {
		t.Errorf("%d backends were made suspects", r.backendLines)
	}
	for id := decide.BackendID(1); id <= 4; id++ {
		if r.sent[id] < 25 { // with one request in flight, as before, 33 are sent in 5 s
			t.Errorf("backend %d got only %d requests", id, r.sent[id])
		}
	}
}

// Without a ready backend a request is refused at once. Empty settings and events about unknown requests do no harm.
func TestNoUsableBackendOrOddSettings(t *testing.T) {
	drained := []decide.Backend{{ID: 1, State: decide.Draining}}
	for _, list := range [][]decide.Backend{nil, drained} {
		for _, s := range []decide.Settings{{}, fixtureSettings()} {
			r := newModuleFixture(t, s, 0)
			r.feed(decide.ListUpdate{Kind: decide.ListFull, Entries: list})
			r.feed(decide.RequestArrived{ID: "a", Class: "unknown", Patience: time.Second})
			if _, ok := r.finalActions["a"].(decide.Refuse); !ok || len(r.sent) != 0 {
				t.Errorf("%v: answer %v, sends %v", list, r.finalActions["a"], r.sent)
			}
		}
	}
	r := newModuleFixture(t, decide.Settings{}, 2) // no classes at all
	r.feed(decide.RequestArrived{ID: "a", Class: "x", Patience: 0})
	if _, ok := r.finalActions["a"].(decide.Refuse); !ok {
		t.Error("zero patience was not refused")
	}
	r.feed(decide.RequestArrived{ID: "b", Class: "x", Patience: time.Second})
	r.feed(decide.AttemptEnded{ID: "unknown", Attempt: 3, Backend: 9, Code: decide.OK, Report: &decide.Report{}})
	r.feed(decide.RequestAbandoned{ID: "unknown"})
	r.feed(decide.TimerFired{Token: 99})
	r.run(2*time.Second, 50, "x")
	if r.sent[1]+r.sent[2] == 0 {
		t.Error("nothing was sent without classes")
	}
}

// A zone fails together with the nodes in it: its backends stop answering, this node gets twice the traffic, the list
// is late, and the backends come back as new processes. The remaining backends must not be overloaded, and the load on
// those that return must rise slowly.
func TestZoneLostWithItsNodesAndBackCold(t *testing.T) {
	s := fixtureSettings()
	s.Nodes = 2
	r := newModuleFixture(t, s, 8)
	r.run(10*time.Second, 60, "cheap")
	lost := func(id decide.BackendID) bool { return id > 4 }
	up := r.delay
	r.delay = func(id decide.BackendID) (time.Duration, decide.OutcomeCode) {
		if lost(id) {
			return time.Hour, decide.TimedOut
		}
		return up(id)
	}
	r.run(2*time.Second, 120, "cheap")
	r.reset()
	r.run(5*time.Second, 120, "cheap")
	dead, alive := 0, 0
	for id, n := range r.sent {
		if lost(id) {
			dead += n
		} else {
			alive += n
		}
	}
	if dead > 60 || alive < 300 || r.failed > 0 {
		t.Errorf("zone lost: %d sends to it, %d to the rest, %d failed", dead, alive, r.failed)
	}
	var gone, back []decide.Backend
	for id := decide.BackendID(5); id <= 8; id++ {
		gone = append(gone, decide.Backend{ID: id, Zone: "z", State: decide.Gone})
		back = append(back, decide.Backend{ID: id, Zone: "z", StartedAt: r.now + 2*time.Second})
	}
	r.feed(decide.ListUpdate{Kind: decide.ListChanges, Entries: gone})
	r.reset()
	r.run(2*time.Second, 120, "cheap")
	for id := range r.sent {
		if lost(id) {
			t.Errorf("sent to %d, which is gone", id)
		}
	}
	r.delay = up
	r.feed(decide.ListUpdate{Kind: decide.ListChanges, Entries: back})
	r.reset()
	r.run(time.Second, 120, "cheap")
	for id, n := range r.sent {
		// The budget is OverloadFactor x ColdStartShare x the 30/s that a warm backend answers to this node, one of two nodes.
		if budget := 2.5 * 0.3 * 30; lost(id) && float64(n) > budget/2+2 {
			t.Errorf("cold backend %d got %d in its first second", id, n)
		}
	}
	r.run(9*time.Second, 60, "cheap")
	r.reset()
	r.run(5*time.Second, 60, "cheap")
	if n := r.sent[5] + r.sent[6] + r.sent[7] + r.sent[8]; n < 90 || r.refused > 0 {
		t.Errorf("once warm: %d of 300 sends to the zone, %d refused", n, r.refused)
	}
}

// Guards against a burst that no single node can see: the first requests of many nodes to a backend that has just
// started.
func TestManyNodesTogetherKeepColdBudget(t *testing.T) {
	const nodes = 60
	s := fixtureSettings()
	s.Nodes = nodes
	total := 0
	for self := range nodes {
		s.Self = self
		r := newModuleFixture(t, s, 10)
		r.m = decide.New(s, int64(self))
		var list []decide.Backend
		for i := range 10 {
			list = append(list, decide.Backend{ID: decide.BackendID(i + 1), Zone: "z"})
		}
		r.feed(decide.ListUpdate{Kind: decide.ListCached, Entries: list})
		r.delay = func(id decide.BackendID) (time.Duration, decide.OutcomeCode) {
			if id == 3 {
				return 10 * time.Millisecond, decide.OK // the fastest, which every node prefers
			}
			return 50 * time.Millisecond, decide.OK
		}
		r.run(10*time.Second, 4, "cheap") // from all nodes together, 24 per second to each backend
		list[2].StartedAt = r.now
		r.feed(decide.ListUpdate{Kind: decide.ListChanges, Entries: list[2:3]})
		r.reset()
		r.run(s.OverloadTime, 4, "cheap")
		total += r.sent[3]
	}
	if budget := s.OverloadFactor * s.ColdStartShare * 24 * s.OverloadTime.Seconds(); float64(total) > budget {
		t.Errorf("%d sends to a cold backend, its budget is %.0f", total, budget)
	}
}

// Log lines are limited even where a backend keeps failing and recovering.
func TestLogIsLimited(t *testing.T) {
	r := newModuleFixture(t, fixtureSettings(), 3)
	r.run(3*time.Second, 100, "cheap")
	n := 0
	r.delay = func(id decide.BackendID) (time.Duration, decide.OutcomeCode) {
		if id == 1 {
			if n++; n%3 != 0 {
				return time.Millisecond, decide.Reset
			}
		}
		return 50 * time.Millisecond, decide.OK
	}
	r.backendLines, r.statusLines = 0, 0
	r.run(60*time.Second, 100, "cheap")
	if r.backendLines == 0 || r.backendLines > 13 {
		t.Errorf("got %d log lines about one backend in a minute, want 1 to 13", r.backendLines)
	}
	if r.statusLines < 3*11 || r.statusLines > 3*13 {
		t.Errorf("got %d status lines in about 60 s, want 3 every 5 s", r.statusLines)
	}
}

func BenchmarkRequest(b *testing.B) {
	m := decide.New(fixtureSettings(), 1)
	var list []decide.Backend
	for i := range 20 {
		list = append(list, decide.Backend{ID: decide.BackendID(i + 1)})
	}
	m.Handle(0, decide.ListUpdate{Kind: decide.ListCached, Entries: list})
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		id := decide.RequestID(fmt.Sprint(i))
		for _, a := range m.Handle(now, decide.RequestArrived{ID: id, Class: "cheap", Patience: time.Second}) {
			if s, ok := a.(decide.Send); ok {
				m.Handle(now, decide.AttemptEnded{ID: id, Backend: s.Backend, RequestAnswered: true, Elapsed: time.Millisecond})
			}
		}
		if i%25 == 0 {
			m.Handle(now, decide.TimerFired{Token: 0})
		}
	}
}
