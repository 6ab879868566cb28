// Package upstream keeps the connections to backends.
//
// A Pool hands out connections for one request each and takes them back for the next one. It never writes or reads
// anything itself: what goes over a connection, and when an answer is whole, is the caller's business. It does not use
// http.Transport, which sends some requests again by itself.
//
// The pool guarantees that
//   - a connection that is handed out a second time is open and has nothing unread on it, so that the answer to an
//     earlier request is not taken for that of the next one;
//   - nothing is handed out for a backend that the list no longer calls ready, or whose address another has taken over;
//   - the number of connections, those being made included, stays within its limit.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	defaultIdleLimit  = time.Minute
	defaultSweepEvery = time.Second
	minDials          = 2 // that one backend may have under way, however low the limit
	dialShare         = 8 // one backend's share of all connections that may be in the making
)

// Errors of Acquire that are not those of making a connection.
var (
	// ErrTooMany means that the limit of the pool is reached: the shortage is the caller's own, not the backend's.
	ErrTooMany = errors.New("too many connections")
	// ErrClosed means that the backend is no longer ready, or that another has its address.
	ErrClosed = errors.New("the backend drains or is gone")
)

// Options set the limits of a Pool. The zero value of each field but Limit stands for its default.
type Options struct {
	Limit       int           // connections at one time, also those being made
	IdleLimit   time.Duration // idle for longer, a connection is closed; a minute by default
	Rest        time.Duration // idle for less, a connection is not used again; no rest by default
	SweepEvery  time.Duration // how often idle connections are looked through; a second by default
	DialTimeout time.Duration // of making a connection; only the caller's deadline by default
	UserTimeout time.Duration // TCP_USER_TIMEOUT of new connections; the system's by default
	Dial        DialFunc      // makes connections; TCP by default
	Counters    *Counters     // counted into if set
}

// Counters count what the pool does, for logs.
type Counters struct {
	Dialled    atomic.Int64 // connections that were begun
	DialFailed atomic.Int64 // connections that did not come up
	Retired    atomic.Int64 // idle connections that were found unfit for use
}

// Entry is one backend of a list. An entry of the same key with another address or a later start is another process.
type Entry[K comparable] struct {
	Key     K
	Address string
	Started time.Duration // since any fixed moment; zero if a new process always has a new key
	Ready   bool          // connections may be made to it
}

// Host is a backend as the pool knows it. Its fields are under the lock of the pool.
type Backend struct {
	address    string
	startedAt  time.Duration
	closed     bool    // it drains or is gone: no connection to it is handed out
	idle       []*Conn // the least recently used first
	dialing    int     // under way
	lastAnswer time.Time
}

// Pool holds the connections to all backends, which are told apart by keys of type K. Of a backend's idle connections the
// most recently used goes first. All methods may be called at the same time.
type Pool[K comparable] struct {
	options     Options
	counters    *Counters
	dials       sync.WaitGroup
	dialContext context.Context // of connections in the making: those who asked for them may be gone before
	cancelDials context.CancelFunc

	mutex       sync.Mutex
	dial        DialFunc
	backends    map[K]*Backend
	open        int // connections, also those being made
	idleHistory idleHistory
}

// New makes an empty pool. Run has to be called for it to close idle connections.
func New[K comparable](o Options) *Pool[K] {
	if o.IdleLimit <= 0 {
		o.IdleLimit = defaultIdleLimit
	}
	if o.SweepEvery <= 0 {
		o.SweepEvery = defaultSweepEvery
	}
	if o.Dial == nil {
		o.Dial = dialTCP(o.DialTimeout, o.UserTimeout)
	}
	if o.Counters == nil {
		o.Counters = &Counters{}
	}
	p := &Pool[K]{options: o, counters: o.Counters, dial: o.Dial, backends: map[K]*Backend{}}
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
	tick := time.NewTicker(p.options.SweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.close()
			return
		case <-tick.C:
			p.sweep()
		}
	}
}

// Wait blocks until no connection is in the making. Nothing may be acquired any more.
func (p *Pool[K]) Wait() { p.dials.Wait() }

func (p *Pool[K]) close() {
	p.cancelDials()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, b := range p.backends {
		p.retire(b)
	}
}

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

// Update follows a list of backends: all of them if full, else those that changed. Connections of an address or a process
// that is no more are closed: a request on one of them would be a reset.
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

// forgetOthers retires the backends that a whole list does not name.
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

func (p *Pool[K]) apply(e Entry[K]) {
	b := p.backends[e.Key]
	if b != nil && (!e.Ready || b.address != e.Address || e.Started > b.startedAt) {
		p.retire(b)
		delete(p.backends, e.Key) // callers that connect to it still hold h, and find it closed
		b = nil
	}
	if b == nil && e.Ready {
		p.backends[e.Key] = p.add(&Backend{address: e.Address, startedAt: e.Started})
	}
}

// join takes in a new backend. If another is still listed at its address, the one that started first is no more:
// what is sent to it would reach the other.
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

func (p *Pool[K]) retire(b *Backend) {
	b.closed = true
	p.closeAll(b)
}

func (p *Pool[K]) closeAll(b *Backend) {
	for _, c := range b.idle {
		p.closeConn(c)
	}
	b.idle = nil
}

func (p *Pool[K]) closeConn(c *Conn) {
	c.Close()
	p.open--
}

// Find gives the backend of a key, or nil if the list has none that is ready.
func (p *Pool[K]) Find(key K) *Backend {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.backends[key]
}

// Open is the number of connections, those being made included.
func (p *Pool[K]) Open() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}

// Idle gives a backend's idle connections, the least recently used first. They are to be looked at only.
func (p *Pool[K]) Idle(b *Backend) []*Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.Clone(b.idle)
}

// Closed tells whether no connection to the backend is handed out any more. One that was acquired before must not be
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
		p.closeAll(b)
	}
}

// Heard notes that an answer came from a backend at a time.
func (p *Pool[K]) RecordAnswer(b *Backend, at time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	b.lastAnswer = at
}

// Silent closes a backend's idle connections if nothing has come from it since a time: a machine that was cut off
// and is back resets them, and each of them would cost a request.
func (p *Pool[K]) CloseUnresponsive(b *Backend, since time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if b.lastAnswer.Before(since) {
		p.closeAll(b)
	}
}

// Reused notes how a request fared on a connection that had been idle. broken means that it was reset with no byte of
// an answer. From this the pool learns for how long connections may be idle.
func (p *Pool[K]) RecordReuse(idle time.Duration, broken bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idleHistory.record(time.Now(), idle, broken)
}

// Acquire takes an idle connection to a backend or makes one by the deadline. If ctx ends, what is in the making goes on and
// serves others: the backend has had the cost of it. The connection has to be given back by Release.
func (p *Pool[K]) Acquire(ctx context.Context, b *Backend, deadline time.Time) (*Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	c, err := p.takeIdleOrReserve(b)
	if c != nil || err != nil {
		return c, err
	}
	p.counters.Dialled.Add(1)
	return p.dialNew(ctx, b, deadline)
}

// takeIdle gives an idle connection, or none and then has counted one that is to be made.
func (p *Pool[K]) takeIdleOrReserve(b *Backend) (*Conn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if b.closed {
		return nil, ErrClosed
	}
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if time.Since(c.idleSince) < p.options.Rest {
			continue
		}
		b.idle = slices.Delete(b.idle, i, i+1)
		if p.isUsable(c) {
			return c, nil
		}
		p.counters.Retired.Add(1)
		p.closeConn(c)
	}
	if b.dialing >= max(minDials, p.options.Limit/dialShare) || p.open >= p.options.Limit && !p.evictOldest() {
		return nil, ErrTooMany
	}
	p.open++
	b.dialing++
	return nil, nil
}

// usable tells whether an idle connection may take a request: young enough, and quiet. A write to one that the
// backend has closed would succeed, and then leave open whether the request ran.
func (p *Pool[K]) isUsable(c *Conn) bool {
	text, open := c.Unread()
	now := time.Now()
	return now.Sub(c.idleSince) < p.idleHistory.limit(now, p.options.IdleLimit) && open && text == ""
}

// evict makes room at the bound by closing the connection that has been idle longest.
func (p *Pool[K]) evictOldest() bool {
	var oldest *Backend
	for _, b := range p.backends {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = b
		}
	}
	if oldest == nil {
		return false
	}
	p.closeConn(oldest.idle[0])
	oldest.idle = append(oldest.idle[:0], oldest.idle[1:]...)
	return true
}

// dialNew makes a connection that takeIdle has counted.
func (p *Pool[K]) dialNew(ctx context.Context, b *Backend, deadline time.Time) (*Conn, error) {
	type made struct {
		conn *Conn
		err  error
	}
	taken := make(chan made) // without room: what nobody takes stays with its maker
	p.dials.Go(func() {
		c, err := p.connect(b, deadline)
		select {
		case taken <- made{c, err}:
		case <-ctx.Done():
			if err == nil {
				p.Release(c, true)
			}
		}
	})
	select {
	case m := <-taken:
		return m.conn, m.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *Pool[K]) connect(b *Backend, deadline time.Time) (*Conn, error) {
	p.mutex.Lock()
	dial := p.dial
	p.mutex.Unlock()
	tcp, err := dial(p.dialContext, "tcp", b.address, deadline)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	b.dialing--
	if err != nil {
		p.counters.DialFailed.Add(1)
		p.open--
		return nil, err
	}
	left := &io.LimitedReader{R: tcp}
	now := time.Now()
	return &Conn{Conn: tcp, Reader: bufio.NewReader(left), backend: b, readLimit: left, idleSince: now, createdAt: now}, nil
}

// Release gives a connection back, for the next request or to be closed. Only one whose answer was read whole, and which the
// backend keeps open, may be kept.
func (p *Pool[K]) Release(c *Conn, keep bool) {
	if keep {
		keep = c.SetDeadline(time.Time{}) == nil
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !keep || c.backend.closed {
		p.closeConn(c)
		return
	}
	c.idleSince = time.Now()
	c.backend.idle = append(c.backend.idle, c)
}
