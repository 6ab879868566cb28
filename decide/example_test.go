package decide_test

import (
	"fmt"
	"time"

	"nickelline/decide"
)

// A node asks the module where to send a request.
func Example() {
	m := decide.New(decide.Settings{
		Nodes: 1, MaxAttempts: 3, ColdStartShare: 0.5, WarmUpTime: 5 * time.Second,
		Classes: []decide.Class{{Name: "page", Value: 1, Target: time.Second, Deadline: 2 * time.Second, Effect: decide.Safe}},
	}, 1)
	clock := 10 * time.Second
	m.Handle(clock, decide.ListUpdate{Kind: decide.ListCached, Entries: []decide.Backend{{ID: 7, State: decide.Ready}}})
	for _, a := range m.Handle(clock, decide.RequestArrived{ID: "r1", Class: "page", Patience: time.Second}) {
		if s, ok := a.(decide.Send); ok {
			fmt.Printf("send %s to backend %d for %v\n", s.ID, s.Backend, s.Timeout)
		}
	}
	// Output: send r1 to backend 7 for 1s
}
