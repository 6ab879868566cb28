package decide_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"nickelline/decide"
)

const testRate = 60 // arrivals per second

func simulate(seed int64, length time.Duration, mutate func(*ruleSimulation, []decide.Action) []decide.Action) *ruleSimulation {
	w := newRuleSimulation(seed)
	w.capacity, w.mutate = testRate/3, mutate
	w.run(length, testRate, true)
	w.run(12*time.Second, 0, false) // let all deadlines pass
	return w
}

// TestRulesUnderRandomEvents drives the module through arbitrary legal orders of events and settings.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		w := simulate(seed, 15*time.Second, nil)
		if len(w.violations) > 0 {
			t.Fatalf("seed %d: %d violations, the first:\n%s", seed, len(w.violations), strings.Join(w.violations[:min(5, len(w.violations))], "\n"))
		}
	}
}

func FuzzRules(f *testing.F) {
	for seed := int64(1000); seed < 1005; seed++ {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		if w := simulate(seed, 5*time.Second, nil); len(w.violations) > 0 {
			t.Fatal(w.violations[0])
		}
	})
}

// TestSameEventsSameActions runs the same seed twice and compares the actions.
func TestSameEventsSameActions(t *testing.T) {
	w := newRuleSimulation(7)
	w.run(10*time.Second, testRate, false)
	again := newRuleSimulation(7)
	again.run(10*time.Second, testRate, false)
	if len(w.actions) < 500 || len(w.actions) != len(again.actions) {
		t.Fatalf("got %d and %d steps, want the same number, 500 at least", len(w.actions), len(again.actions))
	}
	for i := range w.actions {
		if w.actions[i] != again.actions[i] {
			t.Fatalf("step %d: %s, then %s", i, w.actions[i], again.actions[i])
		}
	}
}

// mutation is a simulated defect of a module: it returns the actions that replace one action.
type mutation func(w *ruleSimulation, a decide.Action) []decide.Action

// onSends returns a mutation that replaces Sends.
func onSends(replace func(w *ruleSimulation, s decide.Send) []decide.Action) mutation {
	return func(w *ruleSimulation, a decide.Action) []decide.Action {
		if s, ok := a.(decide.Send); ok {
			return replace(w, s)
		}
		return []decide.Action{a}
	}
}

// redirect returns s with another backend, if one is ready.
func redirect(w *ruleSimulation, s decide.Send) decide.Send {
	for _, id := range w.ids {
		if l := w.backends[id]; id != s.Backend && l.drainNotified == 0 {
			s.Backend = id
			return s
		}
	}
	return s
}

// redirectToLast returns s with the last backend for which matches is true.
func redirectToLast(w *ruleSimulation, s decide.Send, matches func(*listed) bool) []decide.Action {
	for _, id := range w.ids {
		if matches(w.backends[id]) {
			s.Backend = id
		}
	}
	return []decide.Action{s}
}

func sendTwice(w *ruleSimulation, s decide.Send) []decide.Action {
	return []decide.Action{s, redirect(w, s)}
}

func sendToUnlisted(_ *ruleSimulation, s decide.Send) []decide.Action {
	s.Backend = 12345
	return []decide.Action{s}
}

func sendToDraining(w *ruleSimulation, s decide.Send) []decide.Action {
	return redirectToLast(w, s, func(l *listed) bool { return l.drainNotified > 0 })
}

func sendToCold(w *ruleSimulation, s decide.Send) []decide.Action {
	return redirectToLast(w, s, func(l *listed) bool {
		return l.startNotified && l.drainNotified == 0 && w.now-l.StartedAt < 2*time.Second
	})
}

func sendTooOften(_ *ruleSimulation, s decide.Send) []decide.Action {
	return []decide.Action{s, s, s, s, s, s}
}

func cancelUnknown(_ *ruleSimulation, s decide.Send) []decide.Action {
	return []decide.Action{s, decide.CancelAttempt{ID: s.ID, Attempt: 9}}
}

func answerNothing(_ *ruleSimulation, a decide.Action) []decide.Action {
	switch a.(type) {
	case decide.Fail, decide.Refuse:
		return nil
	}
	return []decide.Action{a}
}

func failTwice(_ *ruleSimulation, a decide.Action) []decide.Action {
	if f, ok := a.(decide.Fail); ok {
		return []decide.Action{a, f}
	}
	return []decide.Action{a}
}

func sendRefused(w *ruleSimulation, a decide.Action) []decide.Action {
	if r, ok := a.(decide.Refuse); ok {
		return []decide.Action{a, decide.Send{ID: r.ID, Backend: w.ids[0]}}
	}
	return []decide.Action{a}
}

func refuseFailed(_ *ruleSimulation, a decide.Action) []decide.Action {
	if f, ok := a.(decide.Fail); ok {
		return []decide.Action{decide.Refuse{ID: f.ID}}
	}
	return []decide.Action{a}
}

func probe(w *ruleSimulation, a decide.Action) []decide.Action {
	return []decide.Action{a, decide.Probe{Backend: w.ids[0]}}
}

func sendMessage(_ *ruleSimulation, a decide.Action) []decide.Action {
	return []decide.Action{a, decide.SendMessage{ToAll: true}}
}

// mutateAll applies a mutation to all actions.
func mutateAll(c mutation) func(*ruleSimulation, []decide.Action) []decide.Action {
	return func(w *ruleSimulation, in []decide.Action) (out []decide.Action) {
		for _, a := range in {
			out = append(out, c(w, a)...)
		}
		return out
	}
}

// TestCheckerFindsViolations mutates the module's actions in each way that the rules forbid.
func TestCheckerFindsViolations(t *testing.T) {
	for _, c := range []struct {
		want     string
		mutation mutation
	}{
		{"no answer in time", answerNothing},
		{"second final answer", failTwice},
		{"never listed", onSends(sendToUnlisted)},
		{"drains or is gone", onSends(sendToDraining)},
		{"unsafe request sent again", onSends(sendTwice)},
		{"two attempts in flight", onSends(sendTwice)},
		{"outside its group or window", onSends(sendTwice)},
		{"attempts", onSends(sendTooOften)},
		{"for a request that is over", sendRefused},
		{"refused although", refuseFailed},
		{"its budget is", onSends(sendToCold)},
		{"cancel", onSends(cancelUnknown)},
		{"forbidden probe", probe},
		{"forbidden message", sendMessage},
	} {
		t.Run(c.want, func(t *testing.T) {
			found := false
			for seed := int64(1); seed <= 25 && !found; seed++ {
				w := simulate(seed, 10*time.Second, mutateAll(c.mutation))
				found = strings.Contains(fmt.Sprint(w.violations), c.want)
			}
			if !found {
				t.Errorf("the checker did not find the violation %q", c.want)
			}
		})
	}
}
