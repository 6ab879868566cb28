package upstream

import (
	"context"
	"sync"
	"time"

	"nickelline/internal/pause"
)

// Pool holds the connections to all backends, which have keys of type K. It hands out the most recently used idle connection
// of a backend first. A Pool is safe for concurrent use.
type Pool[K comparable] struct {
	options  Options
	counters *Counters
	dials    sync.WaitGroup
	// dialContext outlives the contexts of the callers of Acquire.
	dialContext context.Context
	cancelDials context.CancelFunc

	mutex       sync.Mutex
	dial        DialFunc
	backends    map[K]*Backend
	open        int // number of connections, including those being dialed
	idleHistory idleHistory
}

// New returns an empty pool. It closes idle connections in the background only while Run is running.
func New[K comparable](options Options) *Pool[K] {
	options = options.withDefaults()
	p := &Pool[K]{options: options, counters: options.Counters, dial: options.Dial, backends: map[K]*Backend{}}
	p.dialContext, p.cancelDials = context.WithCancel(context.Background())
	return p
}

// SetDial replaces the function that dials new connections, and returns the previous one.
func (p *Pool[K]) SetDial(dial DialFunc) DialFunc {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	previous := p.dial
	p.dial = dial
	return previous
}

// Run closes idle connections that are no longer usable until ctx ends. Then it cancels all dials and closes all idle
// connections and backends.
func (p *Pool[K]) Run(ctx context.Context) {
	pause.Every(ctx, p.options.SweepInterval, nil, p.sweep)
	p.close()
}

// Wait blocks until no dial is in progress. Acquire must not be called any more.
func (p *Pool[K]) Wait() { p.dials.Wait() }

// close cancels all dials, and closes all backends with their idle connections.
func (p *Pool[K]) close() {
	p.cancelDials()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, b := range p.backends {
		p.closeBackend(b)
	}
}

// sweep closes the idle connections that are no longer usable.
func (p *Pool[K]) sweep() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, b := range p.backends {
		kept := b.idle[:0]
		for _, c := range b.idle {
			if p.isUsable(c) {
				kept = append(kept, c)
			} else {
				p.counters.Retired.Add(1)
				p.closeConn(c)
			}
		}
		clear(b.idle[len(kept):])
		b.idle = kept
	}
}

// Open returns the number of connections, including those being dialed.
func (p *Pool[K]) Open() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}

// RecordReuse records the outcome of a request on a connection that had been idle. broken means that the connection was
// reset before any byte of a response. From these outcomes the pool learns how long connections may be idle.
func (p *Pool[K]) RecordReuse(idle time.Duration, broken bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idleHistory.record(time.Now(), idle, broken)
}

// closeConn closes a connection and no longer counts it.
func (p *Pool[K]) closeConn(c *Conn) {
	c.Close()
	p.open--
}
