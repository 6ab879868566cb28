package decide

import (
	"fmt"
	"testing"
	"time"
)

// Where servers' tables of connections are full, as requests on new connections alone are turned away, a node keeps to
// fewer servers, and tries more again once nothing is turned away; full queues turn away what comes on any connection.
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
					m.Handle(now, AttemptEnded{ID: s.ID, Server: s.Server, Over: code == OK, Elapsed: 60 * time.Millisecond, Code: code, Opened: opened})
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
	if len(m.near) < 30 {
		t.Errorf("with room: %d servers in use, 40 requests a second", len(m.near))
	}
	now = run(m, now, 20, func(n int) (bool, OutcomeCode) {
		if n%2 == 0 && n%4 == 0 {
			return true, Full
		}
		return n%2 == 0, OK
	})
	if len(m.near) > 8 {
		t.Errorf("with full tables: %d servers in use", len(m.near))
	}
	if run(m, now, 90, served); len(m.near) < 12 {
		t.Errorf("with room again: %d servers in use", len(m.near))
	}
	m = fresh()
	run(m, time.Hour, 30, func(n int) (bool, OutcomeCode) {
		if n/2%2 == 0 {
			return n%2 == 0, Full
		}
		return n%2 == 0, OK
	})
	if len(m.near) < 30 {
		t.Errorf("with full queues: %d servers in use", len(m.near))
	}
}

// One of few nodes, which uses all servers, keeps them though some have no room: others have, and a part of them would be
// crowded.
func TestBusyNodeKeepsAllServersBesideFullTables(t *testing.T) {
	m := New(sparseSettings(4), 1)
	m.Handle(time.Hour, sparseList(15))
	for i := range 2000 {
		now := time.Hour + time.Duration(i)*10*time.Millisecond
		m.Handle(now, TimerFired{})
		for _, a := range m.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(i)), Class: "dear", Patience: 2 * time.Second}) {
			if s, ok := a.(Send); ok {
				code, opened := OK, s.Server <= 2
				if opened {
					code = Full
				}
				m.Handle(now, AttemptEnded{ID: s.ID, Server: s.Server, Over: code == OK, Elapsed: 60 * time.Millisecond, Code: code, Opened: opened})
			}
		}
	}
	if len(m.near) != 15 {
		t.Errorf("%d of 15 servers in use, 100 requests a second", len(m.near))
	}
}
