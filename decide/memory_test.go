package decide

import (
	"fmt"
	"testing"
	"time"
)

// Backends that are gone and classes that the settings lack are not kept: both come in unlimited numbers.
func TestForgetsGoneBackendsAndUnknownClasses(t *testing.T) {
	m := New(Settings{Nodes: 1, MaxAttempts: 2, Classes: []Class{{Name: "c", Effect: Safe, Target: time.Second}}}, 1)
	now := Time(0)
	for i := range 1000 {
		id := RequestID(fmt.Sprint("r", i))
		m.Handle(now, ListUpdate{Kind: []ListKind{ListChanges, ListFull}[i%2], Entries: []Backend{{ID: BackendID(i), State: Ready}}})
		acts := m.Handle(now, RequestArrived{ID: id, Class: []string{"c", fmt.Sprint("c", i)}[i%2], Patience: time.Second})
		m.Handle(now, ListUpdate{Kind: ListChanges, Entries: []Backend{{ID: BackendID(i), State: Gone}}})
		for _, a := range acts {
			if s, ok := a.(Send); ok {
				if m.backends[s.Backend] == nil {
					t.Fatal("backend forgotten with an attempt in flight")
				}
				m.Handle(now, AttemptEnded{ID: id, Backend: s.Backend, RequestAnswered: true, Code: OK})
			}
		}
		now += 30 * time.Millisecond
		m.Handle(now, TimerFired{})
	}
	if len(m.backends) > 1 || len(m.classes) != 1 || len(m.classOrder) != 2 || len(m.requests) > 0 || len(m.openRequests) > 0 {
		t.Errorf("kept %d backends, %d and %d classes, %d and %d requests",
			len(m.backends), len(m.classes), len(m.classOrder), len(m.requests), len(m.openRequests))
	}
}
