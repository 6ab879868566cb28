package decide_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"nickelline/decide"
)

const testRate = 60 // arrivals a second

func play(seed int64, length time.Duration, mutate func(*world, []decide.Action) []decide.Action) *world {
	w := newWorld(seed)
	w.capacity, w.mutate = testRate/3, mutate
	w.run(length, testRate, true)
	w.run(12*time.Second, 0, false) // let all deadlines pass
	return w
}

// TestRulesUnderRandomEvents drives the module through arbitrary legal orders of events and settings.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		w := play(seed, 15*time.Second, nil)
		if len(w.broken) > 0 {
			t.Fatalf("seed %d: %d faults, the first:\n%s", seed, len(w.broken), strings.Join(w.broken[:min(5, len(w.broken))], "\n"))
		}
	}
}

func FuzzRules(f *testing.F) {
	for seed := int64(1000); seed < 1005; seed++ {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		if w := play(seed, 5*time.Second, nil); len(w.broken) > 0 {
			t.Fatal(w.broken[0])
		}
	})
}

// TestSameEventsSameActions plays recorded events to a second module.
func TestSameEventsSameActions(t *testing.T) {
	w := newWorld(7)
	w.run(10*time.Second, testRate, false)
	again := newWorld(7)
	again.run(10*time.Second, testRate, false)
	if len(w.actions) < 500 || len(w.actions) != len(again.actions) {
		t.Fatalf("%d and %d steps", len(w.actions), len(again.actions))
	}
	for i := range w.actions {
		if w.actions[i] != again.actions[i] {
			t.Fatalf("step %d: %s, then %s", i, w.actions[i], again.actions[i])
		}
	}
}

// change is a fault of a module: it returns what comes in place of an action.
type change func(w *world, a decide.Action) []decide.Action

// ofSends returns the fault that changes what is sent.
func ofSends(replace func(w *world, s decide.Send) []decide.Action) change {
	return func(w *world, a decide.Action) []decide.Action {
		if s, ok := a.(decide.Send); ok {
			return replace(w, s)
		}
		return []decide.Action{a}
	}
}

// toAnother returns a send to another backend, if one is ready.
func toAnother(w *world, s decide.Send) decide.Send {
	for _, id := range w.ids {
		if l := w.backends[id]; id != s.Backend && l.drainNotified == 0 {
			s.Backend = id
			return s
		}
	}
	return s
}

// toLast returns a send to the last backend for which holds is true.
func toLast(w *world, s decide.Send, holds func(*listed) bool) []decide.Action {
	for _, id := range w.ids {
		if holds(w.backends[id]) {
			s.Backend = id
		}
	}
	return []decide.Action{s}
}

func sendTwice(w *world, s decide.Send) []decide.Action { return []decide.Action{s, toAnother(w, s)} }

func sendToUnlisted(_ *world, s decide.Send) []decide.Action {
	s.Backend = 12345
	return []decide.Action{s}
}

func sendToDraining(w *world, s decide.Send) []decide.Action {
	return toLast(w, s, func(l *listed) bool { return l.drainNotified > 0 })
}

func sendToCold(w *world, s decide.Send) []decide.Action {
	return toLast(w, s, func(l *listed) bool {
		return l.startNotified && l.drainNotified == 0 && w.now-l.StartedAt < 2*time.Second
	})
}

func sendTooOften(_ *world, s decide.Send) []decide.Action {
	return []decide.Action{s, s, s, s, s, s}
}

func cancelUnknown(_ *world, s decide.Send) []decide.Action {
	return []decide.Action{s, decide.CancelAttempt{ID: s.ID, Attempt: 9}}
}

func answerNothing(_ *world, a decide.Action) []decide.Action {
	switch a.(type) {
	case decide.Fail, decide.Refuse:
		return nil
	}
	return []decide.Action{a}
}

func failTwice(_ *world, a decide.Action) []decide.Action {
	if f, ok := a.(decide.Fail); ok {
		return []decide.Action{a, f}
	}
	return []decide.Action{a}
}

func sendRefused(w *world, a decide.Action) []decide.Action {
	if r, ok := a.(decide.Refuse); ok {
		return []decide.Action{a, decide.Send{ID: r.ID, Backend: w.ids[0]}}
	}
	return []decide.Action{a}
}

func refuseFailed(_ *world, a decide.Action) []decide.Action {
	if f, ok := a.(decide.Fail); ok {
		return []decide.Action{decide.Refuse{ID: f.ID}}
	}
	return []decide.Action{a}
}

func probe(w *world, a decide.Action) []decide.Action {
	return []decide.Action{a, decide.Probe{Backend: w.ids[0]}}
}

func sendMessage(_ *world, a decide.Action) []decide.Action {
	return []decide.Action{a, decide.SendMessage{ToAll: true}}
}

// each applies a fault to all actions.
func each(c change) func(*world, []decide.Action) []decide.Action {
	return func(w *world, in []decide.Action) (out []decide.Action) {
		for _, a := range in {
			out = append(out, c(w, a)...)
		}
		return out
	}
}

// TestCheckerCatches breaks the module's answers in each way that the rules forbid.
func TestCheckerCatches(t *testing.T) {
	for _, c := range []struct {
		want   string
		change change
	}{
		{"no answer in time", answerNothing},
		{"second final answer", failTwice},
		{"never listed", ofSends(sendToUnlisted)},
		{"drains or is gone", ofSends(sendToDraining)},
		{"unsafe request sent again", ofSends(sendTwice)},
		{"two attempts out", ofSends(sendTwice)},
		{"outside its group or window", ofSends(sendTwice)},
		{"attempts", ofSends(sendTooOften)},
		{"for a request that is over", sendRefused},
		{"refused although", refuseFailed},
		{"its budget is", ofSends(sendToCold)},
		{"cancel", ofSends(cancelUnknown)},
		{"forbidden probe", probe},
		{"forbidden message", sendMessage},
	} {
		t.Run(c.want, func(t *testing.T) {
			found := false
			for seed := int64(1); seed <= 25 && !found; seed++ {
				w := play(seed, 10*time.Second, each(c.change))
				found = strings.Contains(fmt.Sprint(w.broken), c.want)
			}
			if !found {
				t.Errorf("a module broken so that %q was not caught", c.want)
			}
		})
	}
}
