package upstream

import (
	"slices"
	"time"
)

// Entry is one backend of a list. An entry of the same key with another address or a later start is another process.
type Entry[K comparable] struct {
	Key     K
	Address string // host and port
	// Started is when the process started, since any fixed moment; zero if a new process always has a new key.
	Started time.Duration
	// Ready backends may be connected to.
	Ready bool
}

// Backend is a backend as the pool knows it. The mutex of the pool guards its fields.
type Backend struct {
	address    string
	startedAt  time.Duration
	closed     bool      // drains or is gone: no connection to it is handed out
	idle       []*Conn   // the least recently used first
	dialing    int       // dials under way
	lastAnswer time.Time // when an answer last came
}

// Update takes a list of backends: all of them if full, else those that changed. Connections to an address or a process that
// no longer exists are closed, since a request on one of them would be reset.
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
	named := make(map[K]bool, len(entries))
	for _, e := range entries {
		named[e.Key] = true
	}
	for key, b := range p.backends {
		if !named[key] {
			p.retire(b)
			delete(p.backends, key)
		}
	}
}

// apply takes one entry of a list.
func (p *Pool[K]) apply(e Entry[K]) {
	b := p.backends[e.Key]
	if b != nil && (!e.Ready || b.address != e.Address || e.Started > b.startedAt) {
		p.retire(b)
		delete(p.backends, e.Key) // callers that connect to it still have it, and find it closed
		b = nil
	}
	if b == nil && e.Ready {
		p.backends[e.Key] = p.add(&Backend{address: e.Address, startedAt: e.Started})
	}
}

// add returns a new backend. If another is still listed at its address, the one that started first is closed: requests to
// it would reach the other.
func (p *Pool[K]) add(added *Backend) *Backend {
	for _, b := range p.backends {
		if b.address != added.address || b.closed {
			continue
		}
		if b.startedAt <= added.startedAt {
			p.retire(b)
		} else {
			added.closed = true
		}
	}
	return added
}

// retire closes a backend and its idle connections.
func (p *Pool[K]) retire(b *Backend) {
	b.closed = true
	p.closeIdle(b)
}

func (p *Pool[K]) closeIdle(b *Backend) {
	for _, c := range b.idle {
		p.closeConn(c)
	}
	b.idle = nil
}

// Find returns the backend of a key, nil if the list has none that is ready.
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

// Closed reports whether no connection to the backend is handed out any more. One that was acquired before must not be
// written to.
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

// RecordAnswer records when an answer came from a backend.
func (p *Pool[K]) RecordAnswer(b *Backend, at time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	b.lastAnswer = at
}

// CloseUnresponsive closes a backend's idle connections if no answer has come from it since a time. A machine that comes
// back after a network partition resets them, and each of them would cost a request.
func (p *Pool[K]) CloseUnresponsive(b *Backend, since time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if b.lastAnswer.Before(since) {
		p.closeIdle(b)
	}
}
