package simnet

import (
	"slices"
	"testing"
	"time"
)

func TestClockRunsEventsInOrder(t *testing.T) {
	var clock Clock
	var got []string
	record := func(name string) func() { return func() { got = append(got, name) } }
	clock.At(2*time.Second, record("second"))
	clock.At(time.Second, record("first"))
	clock.At(2*time.Second, record("third"))
	clock.At(3*time.Second, record("beyond the end"))
	clock.RunUntil(2 * time.Second)
	if want := []string{"first", "second", "third"}; !slices.Equal(got, want) {
		t.Errorf("events: got %v, want %v", got, want)
	}
	if got, want := clock.Now(), 2*time.Second; got != want {
		t.Errorf("Now: got %v, want %v", got, want)
	}
}

func TestClockNeverRunsBackwards(t *testing.T) {
	var clock Clock
	clock.RunUntil(time.Minute)
	var at time.Duration
	clock.At(time.Second, func() { at = clock.Now() })
	if !clock.Step() || at != time.Minute {
		t.Errorf("event of a past time: got %v, want %v", at, time.Minute)
	}
	if clock.Step() {
		t.Error("Step: got true without an event, want false")
	}
}

func TestRunUntilDoneStopsAtTheEvent(t *testing.T) {
	var clock Clock
	count := 0
	for i := range 5 {
		clock.After(time.Duration(i)*time.Second, func() { count++ })
	}
	if done := clock.RunUntilDone(time.Minute, func() bool { return count == 3 }); !done {
		t.Error("RunUntilDone: got false, want true")
	}
	if got, want := clock.Now(), 2*time.Second; got != want {
		t.Errorf("Now: got %v, want %v", got, want)
	}
	if done := clock.RunUntilDone(time.Minute, func() bool { return false }); done || clock.Now() != time.Minute {
		t.Errorf("RunUntilDone: got %v at %v, want false at %v", done, clock.Now(), time.Minute)
	}
}
