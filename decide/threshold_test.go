package decide

import (
	"testing"
	"time"
)

// ordinary gives a module that has learned two servers at so much of their capacity, by steady answers and reports.
func ordinary(busy float64) (m *Module, now Time) {
	const took = 200 * time.Millisecond
	s := Settings{Nodes: 1, MaxAttempts: 1, MinTick: 5 * time.Millisecond,
		Classes: []Class{{Name: "c", Worth: 1, Aim: 400 * time.Millisecond, Deadline: time.Second, Effect: Safe}}}
	m, now = New(s, 1), time.Hour
	m.Handle(now, ListUpdate{Kind: ListCached, Entries: []Server{{ID: 1}, {ID: 2}}})
	type out struct {
		at Time
		e  AttemptEnded
	}
	var due []out
	for i, end := 0, now+30*time.Second; now < end; now += 5 * time.Millisecond {
		for len(due) > 0 && due[0].at <= now {
			m.Handle(now, due[0].e)
			due = due[1:]
		}
		id := RequestID(rune(i))
		for _, a := range m.Handle(now, RequestArrived{ID: id, Class: "c", Patience: time.Second}) {
			if a, ok := a.(Send); ok {
				due = append(due, out{now + took, AttemptEnded{ID: id, Server: a.Server, Over: true, Elapsed: took,
					Report: &Report{Utilisation: busy}}})
			}
		}
		if i++; i%5 == 0 {
			m.Handle(now, TimerFired{})
		}
	}
	return m, now
}

// A server that chance took over H is let in again at the load that it has in ordinary work.
func TestOrdinaryLoadEndsOverload(t *testing.T) {
	for _, c := range []struct {
		part float64 // of what a server holds with all its cores just busy
		want Mode
	}{{0.6, Normal}, {0.8, Normal}, {1.5, Overloaded}} {
		m, now := ordinary(0.8)
		m.now = now
		s := m.near[0]
		s.mode, s.dither = Overloaded, 0.5
		s.n = c.part * m.capacityOf(s) * m.base
		if got := m.modeOf(s); got != c.want {
			n, h := m.crowd(s)
			t.Errorf("at %.1f of a full server's requests (n=%.1f, H=%.1f): mode %d, want %d", c.part, n, h, got, c.want)
		}
	}
}
