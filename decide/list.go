package decide

import (
	"slices"
	"sort"
	"time"
)

const (
	// firstSubscribeWait is the wait before the first attempt to subscribe and after its failure. The
	// wait doubles with each further failure.
	firstSubscribeWait = 200 * time.Millisecond
)

// updateList handles an update of the list of backends, or the failure of a request for it.
func (m *Module) updateList(e ListUpdate) {
	if e.Kind == ListFailed {
		m.subscriptionFailed()
		return
	}
	if e.Kind != ListCached && m.subscribing {
		m.subscribed, m.subscribing, m.subscribeWait = true, false, firstSubscribeWait
	}
	before := m.warmCapacity()
	if e.Kind != ListChanges {
		for _, b := range m.listed {
			b.State = Gone
		}
	}
	for _, entry := range e.Entries {
		m.updateBackend(entry)
	}
	m.rebuildRing()
	if after := m.warmCapacity(); after > 0 && before > after { // the remaining backends take over the load
		m.loadIncrease = before/after*(1+m.loadIncrease*decay(m.now-m.loadIncreaseAt, reportLagTauSeconds)) - 1
		m.loadIncreaseAt = m.now
	}
	m.chooseSubset()
}

// subscriptionFailed schedules the next attempt to subscribe.
func (m *Module) subscriptionFailed() {
	m.subscribed, m.subscribing, m.subscribeAt = false, false, m.now+m.jitter(m.subscribeWait)
	m.subscribeWait = min(2*m.subscribeWait, max(firstSubscribeWait, m.settings.MaxListAge/4))
}

// updateBackend applies an entry of the list. What was learned about an earlier process of a backend
// does not hold for a new one.
func (m *Module) updateBackend(entry Backend) {
	b := m.backendOf(entry.ID)
	if entry.State == Ready && entry.StartedAt > b.StartedAt {
		b.suspect, b.consecutiveFailures, b.unanswered, b.imposedUntil = false, 0, 0, m.now
		clear(b.healthByClass)
		m.startCold(b, entry.StartedAt)
	}
	b.Backend = entry
}

// rebuildRing puts the backends that are not gone in the order that all nodes share.
func (m *Module) rebuildRing() {
	m.listed = m.listed[:0]
	for _, b := range m.backends {
		if b.State != Gone {
			m.listed = append(m.listed, b)
		}
		m.forget(b)
	}
	sort.Slice(m.listed, func(i, j int) bool { return m.listed[i].ringPosition < m.listed[j].ringPosition })
	m.ready = slices.DeleteFunc(slices.Clone(m.listed), func(b *backend) bool { return b.State != Ready })
}

// renewSubscription subscribes where list changes come only on request. First attempts are spread over
// the nodes by jitter, and further ones back off.
func (m *Module) renewSubscription() {
	if m.settings.ListOnRequest && !m.subscribed && m.now >= m.subscribeAt &&
		!(m.subscribing && m.now-m.subscribeSentAt < m.settings.MaxListAge/4) {
		m.subscribing, m.subscribeSentAt = true, m.now
		m.emit(Subscribe{On: true})
	}
}
