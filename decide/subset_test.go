package decide

import (
	"fmt"
	"testing"
	"time"
)

// When requests on new connections alone are rejected, the connection tables of the backends are full, and a node uses
// fewer backends; it tries more again once nothing is rejected. Full queues reject requests on any connection and do
// not shrink the subset.
func TestFullTablesShrinkSubsets(t *testing.T) {
	run := func(m *Module, from Time, seconds int, outcome func(n int) (opened bool, code OutcomeCode)) Time {
		now, n := from, 0
		for step := range seconds * 40 {
			now = from + time.Duration(step+1)*25*time.Millisecond
			m.Handle(now, TimerFired{})
			for _, a := range m.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(from, step)), Class: "valuable", Patience: 2 * time.Second}) {
				if s, ok := a.(Send); ok {
					n++
					opened, code := outcome(n)
					m.Handle(now, AttemptEnded{ID: s.ID, Backend: s.Backend, RequestAnswered: code == OK, Elapsed: 60 * time.Millisecond, Code: code, NewConnection: opened})
				}
			}
		}
		return now
	}
	fresh := func() *Module {
		m := New(largeFleetSettings(300), 1)
		m.Handle(time.Hour, readyList(150))
		return m
	}
	served := func(n int) (bool, OutcomeCode) { return n%2 == 0, OK }
	m := fresh()
	now := run(m, time.Hour, 20, served)
	if len(m.subset) < 30 {
		t.Errorf("with room: got %d backends in use at 40 requests per second, want at least 30", len(m.subset))
	}
	now = run(m, now, 20, func(n int) (bool, OutcomeCode) {
		if n%2 == 0 && n%4 == 0 {
			return true, Full
		}
		return n%2 == 0, OK
	})
	if len(m.subset) > 8 {
		t.Errorf("with full tables: got %d backends in use, want at most 8", len(m.subset))
	}
	if run(m, now, 90, served); len(m.subset) < 12 {
		t.Errorf("with room again: got %d backends in use, want at least 12", len(m.subset))
	}
	m = fresh()
	run(m, time.Hour, 30, func(n int) (bool, OutcomeCode) {
		if n/2%2 == 0 {
			return n%2 == 0, Full
		}
		return n%2 == 0, OK
	})
	if len(m.subset) < 30 {
		t.Errorf("with full queues: got %d backends in use, want at least 30", len(m.subset))
	}
}

// One of few nodes uses all backends and keeps them though some have full tables: the others have room, and a subset of
// them would be overloaded.
func TestBusyNodeKeepsAllBackendsDespiteFullTables(t *testing.T) {
	m := New(largeFleetSettings(4), 1)
	m.Handle(time.Hour, readyList(15))
	for i := range 2000 {
		now := time.Hour + time.Duration(i)*10*time.Millisecond
		m.Handle(now, TimerFired{})
		for _, a := range m.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(i)), Class: "valuable", Patience: 2 * time.Second}) {
			if s, ok := a.(Send); ok {
				code, opened := OK, s.Backend <= 2
				if opened {
					code = Full
				}
				m.Handle(now, AttemptEnded{ID: s.ID, Backend: s.Backend, RequestAnswered: code == OK, Elapsed: 60 * time.Millisecond, Code: code, NewConnection: opened})
			}
		}
	}
	if len(m.subset) != 15 {
		t.Errorf("got %d of 15 backends in use at 100 requests per second, want all", len(m.subset))
	}
}
