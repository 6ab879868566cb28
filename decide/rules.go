package decide

// maySend reports whether the rules allow an attempt of a request at a backend. Every attempt is
// checked with it.
func (m *Module) maySend(r *request, b *backend) bool {
	if r.answered || r.streaming || m.now >= r.deadline || len(r.attempts) >= max(1, m.settings.MaxAttempts) ||
		b.State != Ready || r.inFlight >= 2 || r.inFlight > 0 && !m.settings.MayOverlap {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.backend == b || a.mayRun && !m.mayRepeat(r.class, a, b) {
			return false
		}
	}
	return true
}

// mayRepeat reports whether a request of class c whose earlier attempt a may have run may also run at
// backend b.
func (m *Module) mayRepeat(c *class, a *attempt, b *backend) bool {
	switch {
	case c.Effect == Safe:
		return true
	case c.Effect == Unsafe, m.now+m.settings.MinTick >= a.sent+c.DedupWindow:
		return false
	case c.KeyScope == ScopeZone:
		return b.Zone == a.backend.Zone
	case c.KeyScope == ScopeCell:
		return b.Cell == a.backend.Cell
	}
	return true
}

// mayRefuse reports whether a request may be refused: a refusal promises that a new try does no harm.
func (m *Module) mayRefuse(r *request) bool {
	ran := false
	for _, a := range r.attempts {
		ran = ran || a.mayRun
	}
	return !ran || r.class.Effect == Safe || r.class.Effect == Keyed && r.class.KeyScope == ScopeAll
}
