package pause

import (
	"context"
	"testing"
	"time"
)

func TestForWaitsForTheWholeTime(t *testing.T) {
	const wanted = 20 * time.Millisecond
	start := time.Now()
	if !For(t.Context(), wanted) {
		t.Error("For with a live context: got false, want true")
	}
	if waited := time.Since(start); waited < wanted {
		t.Errorf("wait: got %v, want at least %v", waited, wanted)
	}
}

func TestForDoesNotWaitForNonPositiveDurations(t *testing.T) {
	for _, d := range []time.Duration{0, -time.Hour} {
		if !For(t.Context(), d) {
			t.Errorf("For %v with a live context: got false, want true", d)
		}
	}
}

func TestForEndsWithTheContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(time.Millisecond, cancel)
	if For(ctx, time.Hour) {
		t.Error("For with a context that ends: got true, want false")
	}
	for _, d := range []time.Duration{0, time.Hour} {
		if For(ctx, d) {
			t.Errorf("For %v with an ended context: got true, want false", d)
		}
	}
}

func TestEveryCallsInEachPeriodAndWhenWoken(t *testing.T) {
	const calls = 3
	for name, test := range map[string]struct {
		period time.Duration
		wake   bool
	}{
		"period": {time.Millisecond, false},
		"wake":   {time.Hour, true},
	} {
		ctx, cancel := context.WithCancel(t.Context())
		var wake chan struct{}
		if test.wake {
			wake = make(chan struct{}, calls)
			for range calls {
				wake <- struct{}{}
			}
		}
		count := 0
		Every(ctx, test.period, wake, func() {
			if count++; count == calls {
				cancel()
			}
		})
		if count < calls {
			t.Errorf("%s: got %d calls, want at least %d", name, count, calls)
		}
		cancel()
	}
}

func TestRepeatCallsAtOnceAfterTheReturnedTimeAndWhenWoken(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	wake := make(chan struct{}, 1)
	waits := []time.Duration{time.Millisecond, 0, time.Hour}
	calls := 0
	Repeat(ctx, wake, func() time.Duration {
		calls++
		if calls == 2 { // the next call comes only if woken
			wake <- struct{}{}
		}
		if calls == len(waits) {
			cancel()
		}
		return waits[calls-1]
	})
	if calls != len(waits) {
		t.Errorf("calls: got %d, want %d", calls, len(waits))
	}
}
