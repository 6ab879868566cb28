package decide

import "math"

const (
	// priorityValueShare is the share of the highest class value that gives a request priority even if
	// its value is below the mean: classes of similar value must not be treated very differently.
	priorityValueShare = 0.5
)

// arrive handles a new request: it is sent to a backend, shed or refused.
func (m *Module) arrive(e RequestArrived) {
	if m.requests[e.ID] != nil {
		return
	}
	r := m.newRequest(e)
	m.retryTokens = math.Min(maxRetryTokens, m.retryTokens+retryTokensPerArrival)
	if m.sendTrial(r) {
		return
	}
	b, mode := m.pick(m.subset, r)
	switch {
	case b == nil:
		m.tally.noBackend++
	case mode == Overloaded && m.shed(r):
		b = nil
		m.tally.shed++
	}
	if !m.send(r, b, r.deadline) {
		m.answerFinally(r)
	}
}

// newRequest registers a request and counts it among the priority arrivals or the others. Requests over
// their tenant's quota have no priority.
func (m *Module) newRequest(e RequestArrived) *request {
	c := m.classOf(e.Class)
	r := &request{id: e.ID, class: c, arrived: m.now, deadline: m.now + e.Patience}
	m.requests[e.ID], m.openRequests = r, append(m.openRequests, r)
	m.smoothedArrivals = m.smoothedArrivals*decay(m.now-m.lastArrivalAt, arrivalTauSeconds) + 1/arrivalTauSeconds
	m.lastArrivalAt = m.now
	m.meanValue += fleetGain * (c.Value - m.meanValue)
	r.priority = c.Value >= math.Min(m.meanValue, priorityValueShare*m.maxValue)
	if t := m.tenants[e.Tenant]; t != nil && !t.takeToken(m.now) {
		r.priority = false
	}
	m.tally.arrived++
	m.otherArrivals++
	if r.priority {
		m.priorityArrivals++
		m.otherArrivals--
	}
	return r
}

// shed decides at random, with the drop probability of the request's kind, whether to drop it.
func (m *Module) shed(r *request) bool {
	if r.priority {
		return m.random() < m.priorityDrop
	}
	return m.random() < m.otherDrop
}

// pick chooses a backend from a list and returns it with its mode: of two random normal backends, or of
// two overloaded ones if none is normal, the one with the lower expected latency. It returns nil if
// there is none.
func (m *Module) pick(list []*backend, r *request) (*backend, Mode) {
	for mode, pool := range m.candidates(list, r) {
		if len(pool) > 0 {
			return m.pickOfTwo(pool), Mode(mode)
		}
	}
	return nil, Blocking
}

// candidates returns the backends that may get a request, by mode: normal ones first, then overloaded
// ones. Backends that are avoided for the class are included only while every backend of the list is
// a suspect or avoided.
func (m *Module) candidates(list []*backend, r *request) (pools [Blocking][]*backend) {
	trusted := false
	for _, b := range list {
		trusted = trusted || !b.suspect && !m.avoided(b, r.class)
	}
	for _, b := range list {
		if b.suspect || trusted && m.avoided(b, r.class) || !m.maySend(r, b) || m.overColdBudget(b) {
			continue
		}
		if mode := m.modeOf(b); mode != Blocking {
			pools[mode] = append(pools[mode], b)
		}
	}
	return pools
}

// pickOfTwo draws two backends of a pool and returns the one with the lower expected latency.
func (m *Module) pickOfTwo(pool []*backend) *backend {
	first := int(m.random() * float64(len(pool)))
	second := (first + 1 + int(m.random()*float64(len(pool)-1))) % len(pool)
	best, other := pool[first], pool[second]
	if (other.inFlight+1)*m.latencyOf(other) < (best.inFlight+1)*m.latencyOf(best) {
		best = other
	}
	return best
}
