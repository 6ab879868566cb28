package decide

import "time"

// dueTrialBackend returns a backend whose trial is due, for a request that may be repeated: a suspect,
// or a backend that is avoided for the class of the request. It returns nil if there is none.
func (m *Module) dueTrialBackend(r *request) *backend {
	for _, b := range m.subset {
		if r.class.Effect == Unsafe || !m.maySend(r, b) {
			continue
		}
		avoided := m.avoided(b, r.class)
		if b.suspect && !avoided && m.now >= b.trialAt {
			return b
		}
		if !b.suspect && avoided && m.now >= b.healthOf(r.class).trialAt &&
			m.modeOf(b) != Blocking && !m.overColdBudget(b) {
			return b
		}
	}
	return nil
}

// sendTrial sends a request to a backend whose trial is due, and reports whether it did. The trial of a
// suspect may take one and a half times the expected latency or, if longer, a third of the target, but
// no longer than the time after which a backend counts as unresponsive. With less time, a healthy
// suspect would never be cleared; with more, none would be left for a second attempt. Trials spend
// retry tokens as further attempts do: when the whole fleet is slow, each of many nodes has many
// suspects, and trials of them all would keep the overload going.
func (m *Module) sendTrial(r *request) bool {
	b, c := m.dueTrialBackend(r), r.class
	if b == nil || m.retryTokens < 2 {
		return false
	}
	expected := time.Duration(m.meanLatency * c.relativeCost * float64(time.Second))
	unresponsiveAfter := max(m.settings.ConnectTimeout, unresponsiveFactor*expected)
	timeout := max(c.Target/3, expected*3/2)
	switch {
	case !b.suspect && m.send(r, b, c.Target/2):
		b.healthOf(c).trialAt = m.now + m.jitter(firstTrialWait)
	case b.suspect && m.send(r, b, min(unresponsiveAfter, timeout)):
		b.trialWait = min(2*b.trialWait, maxTrialWait)
		r.trial, b.trialAt = true, m.now+m.jitter(b.trialWait)
	default:
		return false
	}
	m.retryTokens--
	return true
}
