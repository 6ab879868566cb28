package proxy

import (
	"sync/atomic"

	"nickelline/internal/fault"
)

// counters count the outcomes of client requests since the start.
type counters struct {
	errors    map[fault.Kind]*atomic.Uint64 // error responses of the proxy itself, by kind; the map is read-only
	delivered atomic.Uint64                 // responses of backends
	attempts  atomic.Uint64
	retries   atomic.Uint64
	// executions are the attempts that were or may have been executed, repeated those beyond the first of their request.
	executions atomic.Uint64
	repeated   atomic.Uint64
}

func newCounters() *counters {
	c := &counters{errors: map[fault.Kind]*atomic.Uint64{}}
	for _, kind := range fault.Kinds() {
		c.errors[kind] = new(atomic.Uint64)
	}
	return c
}

// recordAttempt counts an attempt for a request that has been attempted a number of times before.
func (c *counters) recordAttempt(previous int) {
	c.attempts.Add(1)
	if previous > 0 {
		c.retries.Add(1)
	}
}

// recordExecution counts an execution of a request that has been executed a number of times before.
func (c *counters) recordExecution(previous int) {
	c.executions.Add(1)
	if previous > 0 {
		c.repeated.Add(1)
	}
}

// Stats are counters of a proxy since its start.
type Stats struct {
	// ErrorResponses counts the proxy's own error responses, by kind.
	ErrorResponses map[fault.Kind]uint64
	// BackendResponses counts the responses of backends that were delivered to clients.
	BackendResponses uint64
	// Attempts counts the attempts to send a request to a backend, Retries those that were not the first for their
	// request.
	Attempts, Retries uint64
	// Executions counts the attempts that were or may have been executed, Repeated those that were not the first for their
	// request.
	Executions, Repeated uint64
}

// Stats returns the counters of the proxy.
func (p *Proxy) Stats() Stats {
	stats := Stats{
		ErrorResponses:   make(map[fault.Kind]uint64, len(p.counters.errors)),
		BackendResponses: p.counters.delivered.Load(),
		Attempts:         p.counters.attempts.Load(),
		Retries:          p.counters.retries.Load(),
		Executions:       p.counters.executions.Load(),
		Repeated:         p.counters.repeated.Load(),
	}
	for kind, count := range p.counters.errors {
		stats.ErrorResponses[kind] = count.Load()
	}
	return stats
}
