package upstream

import (
	"context"
	"sync"
	"time"

	"nickelline/internal/pause"
)

// Pool holds the connections to all backends, which have keys of type K. Of a backend's idle connections the most recently
// used is taken first. A Pool is safe for concurrent use.
type Pool[K comparable] struct {
	options  Options
	counters *Counters
	dials    sync.WaitGroup
	// dialContext outlives the contexts of those who ask for a connection.
	dialContext context.Context
	cancelDials context.CancelFunc

	mutex       sync.Mutex
	dial        DialFunc
	backends    map[K]*Backend
	open        int // connections, those being dialed included
	idleHistory idleHistory
}

// New returns an empty pool. Run has to be called for it to close idle connections.
func New[K comparable](options Options) *Pool[K] {
	options = options.withDefaults()
	p := &Pool[K]{options: options, counters: options.Counters, dial: options.Dial, backends: map[K]*Backend{}}
	p.dialContext, p.cancelDials = context.WithCancel(context.Background())
	return p
}

// SetDial replaces the function that makes connections, from the next one on, and returns the one before.
func (p *Pool[K]) SetDial(dial DialFunc) DialFunc {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	before := p.dial
	p.dial = dial
	return before
}

// Run closes idle connections that are no longer fit for use until ctx ends, and then closes them all.
func (p *Pool[K]) Run(ctx context.Context) {
	pause.Every(ctx, p.options.SweepInterval, nil, p.sweep)
	p.close()
}

// Wait blocks until no dial is under way. Nothing may be acquired any more.
func (p *Pool[K]) Wait() { p.dials.Wait() }

// close ends dials and idle connections.
func (p *Pool[K]) close() {
	p.cancelDials()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, b := range p.backends {
		p.retire(b)
	}
}

// sweep closes the idle connections that are no longer fit for use.
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

// Open returns the number of connections, those being dialed included.
func (p *Pool[K]) Open() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}

// RecordReuse records the outcome of a request on a connection that had been idle. broken means that the connection was
// reset before any byte of an answer. From this the pool learns for how long connections may be idle.
func (p *Pool[K]) RecordReuse(idle time.Duration, broken bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idleHistory.record(time.Now(), idle, broken)
}

// closeConn closes a connection that is no longer counted.
func (p *Pool[K]) closeConn(c *Conn) {
	c.Close()
	p.open--
}
