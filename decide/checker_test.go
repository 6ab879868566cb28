package decide_test

import "nickelline/decide"

// sameScope reports whether two backends share their records of keys. It is the checker's own implementation of the
// scopes.
func sameScope(s decide.Scope, a, b *listed) bool {
	return s == decide.ScopeAll || s == decide.ScopeZone && a.Zone == b.Zone || s == decide.ScopeCell && a.Cell == b.Cell
}

// neverRan reports whether an outcome proves that the attempt never ran.
func neverRan(c decide.OutcomeCode) bool {
	return c == decide.Full || c == decide.ConnectFailed || c == decide.NotSent
}

// checkSend records each rule that a Send breaks.
func (w *ruleSimulation) checkSend(q *liveRequest, a decide.Send) {
	s := w.backends[a.Backend]
	if s == nil {
		w.violation("send to backend %d, which was never listed", a.Backend)
		return
	}
	if q.final || q.stream {
		w.violation("send for a request that is over")
	}
	if w.now > q.deadline {
		w.violation("send after the deadline")
	}
	if len(q.attempts) >= w.settings.MaxAttempts {
		w.violation("more than %d attempts", w.settings.MaxAttempts)
	}
	if s.drainNotified > 0 && w.now > s.drainNotified+w.settings.DrainGrace {
		w.violation("send to a backend that drains or is gone")
	}
	for _, p := range q.attempts {
		if !p.ended && !w.settings.MayOverlap {
			w.violation("two attempts in flight at once")
		}
		if p.ended && neverRan(p.code) || q.class.Effect == decide.Safe {
			continue
		}
		if q.class.Effect == decide.Unsafe {
			w.violation("unsafe request sent again")
		} else if !sameScope(q.class.KeyScope, s, w.backends[p.backend]) || w.now > p.at+q.class.DedupWindow {
			w.violation("keyed request sent outside its group or window")
		}
	}
	w.sends[a.Backend] = append(w.sends[a.Backend], w.now)
	age := (w.now - s.StartedAt).Seconds() / w.settings.WarmUpTime.Seconds()
	if s.startNotified && age < 1 {
		part := w.settings.ColdStartShare + (1-w.settings.ColdStartShare)*max(0, age)
		n := 0
		for _, at := range w.sends[a.Backend] {
			if at > w.now-w.settings.OverloadTime && at >= s.StartedAt {
				n++
			}
		}
		if limit := w.settings.OverloadFactor * part * w.capacity * w.settings.OverloadTime.Seconds(); float64(n) > limit+3 {
			w.violation("cold backend %d was sent %d requests, its budget is %.1f", a.Backend, n, limit)
		}
	}
}

// final records the final answer of a request, and a violation if it is not the first.
func (w *ruleSimulation) final(id decide.RequestID) *liveRequest {
	q := w.requests[id]
	if q == nil {
		w.violation("answer to an unknown request")
		return nil
	}
	if q.final {
		w.violation("second final answer")
	}
	q.final = true
	return q
}
