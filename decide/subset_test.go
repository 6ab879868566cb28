package decide

import (
	"fmt"
	"testing"
	"time"
)

// Where backends' tables of connections are full, as requests on new connections alone are turned away, a node keeps to
// fewer backends, and tries more again once nothing is turned away; full queues turn away what comes on any connection.
func TestFullTablesShrinkSubsets(t *testing.T) {
	run := func(m *Module, from Time, seconds int, turns func(n int) (opened bool, code OutcomeCode)) Time {
		now, n := from, 0
		for step := range seconds * 40 {
			now = from + time.Duration(step+1)*25*time.Millisecond
			m.Handle(now, TimerFired{})
			for _, a := range m.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(from, step)), Class: "dear", Patience: 2 * time.Second}) {
				if s, ok := a.(Send); ok {
					n++
					opened, code := turns(n)
					m.Handle(now, AttemptEnded{ID: s.ID, Backend: s.Backend, Over: code == OK, Elapsed: 60 * time.Millisecond, Code: code, Opened: opened})
				}
			}
		}
		return now
	}
	fresh := func() *Module {
		m := New(sparseSettings(300), 1)
		m.Handle(time.Hour, sparseList(150))
		return m
	}
	served := func(n int) (bool, OutcomeCode) { return n%2 == 0, OK }
	m := fresh()
	now := run(m, time.Hour, 20, served)
	if len(m.subset) < 30 {
		t.Errorf("with room: %d backends in use, 40 requests a second", len(m.subset))
	}
	now = run(m, now, 20, func(n int) (bool, OutcomeCode) {
		if n%2 == 0 && n%4 == 0 {
			return true, Full
		}
		return n%2 == 0, OK
	})
	if len(m.subset) > 8 {
		t.Errorf("with full tables: %d backends in use", len(m.subset))
	}
	if run(m, now, 90, served); len(m.subset) < 12 {
		t.Errorf("with room again: %d backends in use", len(m.subset))
	}
	m = fresh()
	run(m, time.Hour, 30, func(n int) (bool, OutcomeCode) {
		if n/2%2 == 0 {
			return n%2 == 0, Full
		}
		return n%2 == 0, OK
	})
	if len(m.subset) < 30 {
		t.Errorf("with full queues: %d backends in use", len(m.subset))
	}
}

// One of few nodes, which uses all backends, keeps them though some have no room: others have, and a part of them would be
// crowded.
func TestBusyNodeKeepsAllBackendsBesideFullTables(t *testing.T) {
	m := New(sparseSettings(4), 1)
	m.Handle(time.Hour, sparseList(15))
	for i := range 2000 {
		now := time.Hour + time.Duration(i)*10*time.Millisecond
		m.Handle(now, TimerFired{})
		for _, a := range m.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(i)), Class: "dear", Patience: 2 * time.Second}) {
			if s, ok := a.(Send); ok {
				code, opened := OK, s.Backend <= 2
				if opened {
					code = Full
				}
				m.Handle(now, AttemptEnded{ID: s.ID, Backend: s.Backend, Over: code == OK, Elapsed: 60 * time.Millisecond, Code: code, Opened: opened})
			}
		}
	}
	if len(m.subset) != 15 {
		t.Errorf("%d of 15 backends in use, 100 requests a second", len(m.subset))
	}
}
