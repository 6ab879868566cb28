package driver

import (
	"context"
	"runtime"
	"slices"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

// testMachine is due at a time that the tests set, and outputs the names of the events that it has handled.
type testMachine struct {
	due    time.Duration
	events []string
}

func (m *testMachine) Advance(now time.Duration) {
	if now >= m.due {
		m.due = Never
		m.events = append(m.events, "advance")
	}
}

func (m *testMachine) Next() time.Duration { return m.due }

func (m *testMachine) Take(started bool) []string {
	if !started {
		return nil
	}
	taken := m.events
	m.events = nil
	return taken
}

// newTestDriver returns a driver, and a channel of the events that its machine outputs.
func newTestDriver(machine *testMachine) (*Driver[[]string], <-chan string) {
	performed := make(chan string, 100)
	d := New(machine, func(_ context.Context, _ time.Duration, events []string) {
		for _, event := range events {
			performed <- event
		}
	})
	return d, performed
}

func expectEvent(t *testing.T, performed <-chan string, want string) {
	t.Helper()
	select {
	case got := <-performed:
		if got != want {
			t.Errorf("performed: got %q, want %q", got, want)
		}
	case <-time.After(testTimeout):
		t.Fatalf("performed: got nothing, want %q", want)
	}
}

func expectNoEvent(t *testing.T, performed <-chan string) {
	t.Helper()
	select {
	case got := <-performed:
		t.Errorf("performed: got %q, want nothing", got)
	default:
	}
}

func TestOutputIsHeldBackUntilStart(t *testing.T) {
	machine := &testMachine{due: Never}
	d, performed := newTestDriver(machine)
	if !d.Do(func(time.Duration) { machine.events = append(machine.events, "early") }) {
		t.Error("Do before Start: got false, want true")
	}
	expectNoEvent(t, performed)
	d.Start(t.Context())
	expectEvent(t, performed, "early")
}

func TestMachineIsAdvancedWhenDue(t *testing.T) {
	const delay = 20 * time.Millisecond
	machine := &testMachine{due: Never}
	d, performed := newTestDriver(machine)
	d.Start(t.Context())
	due := time.Duration(0)
	d.Do(func(now time.Duration) {
		due = now + delay
		machine.due = due
	})
	expectEvent(t, performed, "advance")
	d.Inspect(func(now time.Duration) {
		if now < due {
			t.Errorf("advanced by %v, want not before %v", now, due)
		}
	})
}

func TestNothingIsHandledAfterStop(t *testing.T) {
	machine := &testMachine{due: Never}
	d, performed := newTestDriver(machine)
	ctx, cancel := context.WithCancel(t.Context())
	d.Start(ctx)
	cancel()
	deadline := time.Now().Add(testTimeout)
	for d.Do(func(time.Duration) {}) {
		if time.Now().After(deadline) {
			t.Fatal("Do after the end of the context: got true, want false")
		}
		runtime.Gosched()
	}
	d.Do(func(time.Duration) { machine.events = append(machine.events, "late") })
	expectNoEvent(t, performed)
	inspected := false
	d.Inspect(func(time.Duration) { inspected = true })
	if !inspected {
		t.Error("Inspect after the end: got no call, want one")
	}
}

func TestPerformMayUseTheDriver(t *testing.T) {
	machine := &testMachine{due: Never}
	var performed []string
	var d *Driver[[]string]
	d = New(machine, func(_ context.Context, _ time.Duration, events []string) {
		performed = append(performed, events...)
		if slices.Contains(events, "first") {
			d.Do(func(time.Duration) { machine.events = append(machine.events, "second") })
		}
	})
	d.timer = time.NewTimer(time.Hour) // marks the driver as started, without a timer tick
	d.Do(func(time.Duration) { machine.events = append(machine.events, "first") })
	if want := []string{"first", "second"}; !slices.Equal(performed, want) {
		t.Errorf("performed: got %v, want %v", performed, want)
	}
}

func TestTimeOfUsesTheClockOfTheMachine(t *testing.T) {
	d, _ := newTestDriver(&testMachine{due: Never})
	before := d.TimeOf(time.Now())
	d.Inspect(func(now time.Duration) {
		if now < before {
			t.Errorf("clock: got %v, want at least %v", now, before)
		}
	})
}
