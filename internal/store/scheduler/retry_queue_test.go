package scheduler

import "testing"

const testRoute = "reports"

// fakeWaiter counts its calls. It has items to try if hasItems is set.
type fakeWaiter struct {
	name     string
	hasItems bool
	woken    int
	retried  int
}

func (w *fakeWaiter) Wake() { w.woken++ }

func (w *fakeWaiter) Retry(string) bool {
	w.retried++
	return w.hasItems
}

func TestRetryQueuePopsTheMostUrgent(t *testing.T) {
	lowPressure, highPressure, late := &fakeWaiter{name: "low pressure"}, &fakeWaiter{name: "high pressure"}, &fakeWaiter{name: "late"}
	q := NewRetryQueue()
	q.Enter(testRoute, lowPressure, Urgency{Pressure: 0.1})
	q.Enter(testRoute, late, Urgency{Late: true, Pressure: 1.5})
	q.Enter(testRoute, highPressure, Urgency{Pressure: 0.9})
	q.Enter("other", lowPressure, Urgency{})
	for i, want := range []Waiter{highPressure, lowPressure, late, nil} {
		if got := q.pop(testRoute); got != want {
			t.Errorf("pop %d: got %v, want %v", i, got, want)
		}
	}
	q.Leave("other", lowPressure)
	if got := q.pop("other"); got != nil {
		t.Errorf("pop after the only waiter has left: got %v, want nil", got)
	}
}

func TestRetryQueueUsesTheRenewedUrgency(t *testing.T) {
	first, second := &fakeWaiter{name: "first"}, &fakeWaiter{name: "second"}
	q := NewRetryQueue()
	q.Enter(testRoute, first, Urgency{Pressure: 0.5})
	q.Enter(testRoute, second, Urgency{Pressure: 0.4})
	q.Enter(testRoute, first, Urgency{Pressure: 0.3})
	if got := q.pop(testRoute); got != second {
		t.Errorf("got %v, want %v", got, second)
	}
}

func TestOfferSkipsWaitersWithoutItems(t *testing.T) {
	done := &fakeWaiter{name: "done"}
	busy := &fakeWaiter{name: "busy", hasItems: true}
	last := &fakeWaiter{name: "last", hasItems: true}
	q := NewRetryQueue()
	q.Enter(testRoute, done, Urgency{Pressure: 0.9})
	q.Enter(testRoute, busy, Urgency{Pressure: 0.5})
	q.Enter(testRoute, last, Urgency{Pressure: 0.1})
	q.Offer(testRoute)
	if done.retried != 1 || busy.retried != 1 || last.retried != 0 {
		t.Errorf("retried: got %d, %d, %d, want 1, 1, 0", done.retried, busy.retried, last.retried)
	}
	if !q.Contains(testRoute, last) || q.Contains(testRoute, busy) || q.Len(testRoute) != 1 {
		t.Errorf("waiters left in the queue: got %d, want only the last one", q.Len(testRoute))
	}
}

func TestReleasedSlotWakesTheWaiters(t *testing.T) {
	first, second := &fakeWaiter{name: "first"}, &fakeWaiter{name: "second"}
	slots := NewSlots(1)
	if !slots.TryAcquire(first) {
		t.Fatal("the only slot was not acquired")
	}
	if slots.TryAcquire(second) {
		t.Error("a second slot was acquired, want none beyond the limit of 1")
	}
	slots.Release()
	if first.woken != 0 || second.woken != 1 {
		t.Errorf("woken: got %d, %d, want 0, 1", first.woken, second.woken)
	}
	if !slots.TryAcquire(second) {
		t.Error("the slot that was released was not acquired")
	}
}
