package upstream

import (
	"slices"
	"time"
)

// Entry is one backend of a list. An entry of the same key with another address or a later start means another process.
type Entry[K comparable] struct {
	Key     K
	Address string // host and port
	// Started is when the process started, as the time since any fixed moment; zero if a new process always has a new key.
	Started time.Duration
	// Ready reports whether the backend takes connections.
	Ready bool
}

// Backend is a backend as the pool knows it. The mutex of the pool guards its fields.
type Backend struct {
	address      string
	startedAt    time.Duration
	closed       bool      // draining or removed: no connection to it is handed out
	idle         []*Conn   // the least recently used first
	dialing      int       // dials in progress
	lastResponse time.Time // when a response last came
}

// Update applies a list of backends: all of them if full, else those that changed. It closes the idle connections to an
// address or a process that no longer exists, because a request on one of them would be reset.
func (p *Pool[K]) Update(full bool, entries []Entry[K]) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if full {
		p.removeUnlisted(entries)
	}
	for _, e := range entries {
		p.apply(e)
	}
}

// removeUnlisted removes the backends that a full list does not name.
func (p *Pool[K]) removeUnlisted(entries []Entry[K]) {
	listed := make(map[K]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
	}
	for key, b := range p.backends {
		if !listed[key] {
			p.closeBackend(b)
			delete(p.backends, key)
		}
	}
}

// apply applies one entry of a list.
func (p *Pool[K]) apply(e Entry[K]) {
	b := p.backends[e.Key]
	if b != nil && (!e.Ready || b.address != e.Address || e.Started > b.startedAt) {
		p.closeBackend(b)
		delete(p.backends, e.Key) // callers that hold it find it closed
		b = nil
	}
	if b == nil && e.Ready {
		p.backends[e.Key] = p.resolveAddressConflict(&Backend{address: e.Address, startedAt: e.Started})
	}
}

// resolveAddressConflict returns the new backend. If another backend is still listed at its address, it closes the one that
// started first, because requests to that one would reach the other.
func (p *Pool[K]) resolveAddressConflict(added *Backend) *Backend {
	for _, b := range p.backends {
		if b.address != added.address || b.closed {
			continue
		}
		if b.startedAt <= added.startedAt {
			p.closeBackend(b)
		} else {
			added.closed = true
		}
	}
	return added
}

// closeBackend marks a backend as closed and closes its idle connections.
func (p *Pool[K]) closeBackend(b *Backend) {
	b.closed = true
	p.closeIdle(b)
}

// closeIdle closes the idle connections to a backend.
func (p *Pool[K]) closeIdle(b *Backend) {
	for _, c := range b.idle {
		p.closeConn(c)
	}
	b.idle = nil
}

// Find returns the backend of a key, or nil if no ready backend of that key is listed.
func (p *Pool[K]) Find(key K) *Backend {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.backends[key]
}

// Idle returns a backend's idle connections, the least recently used first. The caller must not use them.
func (p *Pool[K]) Idle(b *Backend) []*Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.Clone(b.idle)
}

// Closed reports whether the backend is draining, removed or superseded at its address. No connection to it is handed out
// any more, and no request may be written to one that was acquired before.
func (p *Pool[K]) Closed(b *Backend) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return b.closed
}

// CloseIdle closes the idle connections to a backend.
func (p *Pool[K]) CloseIdle(key K) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if b := p.backends[key]; b != nil {
		p.closeIdle(b)
	}
}

// RecordResponse records when a response came from a backend.
func (p *Pool[K]) RecordResponse(b *Backend, at time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	b.lastResponse = at
}

// CloseUnresponsive closes a backend's idle connections if no response has come from it since the given time. A machine
// that comes back after a network partition resets these connections, and each of them would cost a request.
func (p *Pool[K]) CloseUnresponsive(b *Backend, since time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if b.lastResponse.Before(since) {
		p.closeIdle(b)
	}
}
