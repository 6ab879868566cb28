package proxy

import (
	"sync/atomic"

	"nickelline/internal/fault"
)

// counters count the outcomes of clients' requests since the start.
type counters struct {
	errors    map[fault.Kind]*atomic.Uint64 // answers of the proxy itself, by kind; the map is not changed
	delivered atomic.Uint64
	attempts  atomic.Uint64
	retries   atomic.Uint64
}

func newCounters() *counters {
	c := &counters{errors: map[fault.Kind]*atomic.Uint64{}}
	for _, kind := range fault.Kinds() {
		c.errors[kind] = new(atomic.Uint64)
	}
	return c
}

// recordAttempt counts an attempt after some earlier ones of the same request.
func (c *counters) recordAttempt(before int) {
	c.attempts.Add(1)
	if before > 0 {
		c.retries.Add(1)
	}
}

// Stats are the metrics of a proxy since its start.
type Stats struct {
	// Faults counts the proxy's own answers to requests, by kind.
	Faults map[fault.Kind]uint64
	// Passed counts answers of backends that clients got.
	Passed uint64
	// Attempts counts sends to backends, Retries those of them that were not the first for their request.
	Attempts, Retries uint64
}

// Stats returns the metrics of the proxy.
func (p *Proxy) Stats() Stats {
	stats := Stats{
		Faults:   make(map[fault.Kind]uint64, len(p.counters.errors)),
		Passed:   p.counters.delivered.Load(),
		Attempts: p.counters.attempts.Load(),
		Retries:  p.counters.retries.Load(),
	}
	for kind, count := range p.counters.errors {
		stats.Faults[kind] = count.Load()
	}
	return stats
}
