package upstream

import (
	"bufio"
	"context"
	"io"
	"slices"
	"time"

	"nickelline/internal/responsehead"
)

const (
	// minDials is the number of dials to one backend that may always be in progress, however low the connection limit is.
	minDials = 2
	// dialShareDivisor divides the connection limit: the quotient is how many dials to one backend may be in progress.
	dialShareDivisor = 8
)

// Acquire takes an idle connection to a backend, or dials one by the deadline. If ctx ends, the dial continues and its
// connection becomes idle for other requests, because the backend has already borne the cost of it. The caller must give
// the connection back with Release. Errors other than ErrTooManyConnections and ErrClosed are those of ctx and of dialing.
func (p *Pool[K]) Acquire(ctx context.Context, b *Backend, deadline time.Time) (*Conn, error) {
	return p.AcquireAccepted(ctx, b, deadline, func(*Conn) bool { return true })
}

// AcquireAccepted is Acquire, but passes over idle connections that accepts rejects. They stay open. accepts is called with the
// pool locked.
func (p *Pool[K]) AcquireAccepted(ctx context.Context, b *Backend, deadline time.Time, accepts func(*Conn) bool) (*Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	c, err := p.takeIdleOrReserve(b, accepts)
	if c != nil || err != nil {
		return c, err
	}
	p.counters.Dialed.Add(1)
	return p.dialReserved(ctx, b, deadline)
}

// takeIdleOrReserve returns an idle connection. If there is none, it reserves a connection to be dialed and returns nil.
func (p *Pool[K]) takeIdleOrReserve(b *Backend, accepts func(*Conn) bool) (*Conn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if b.closed {
		return nil, ErrClosed
	}
	if c := p.takeIdle(b, accepts); c != nil {
		return c, nil
	}
	if !p.reserveDial(b) {
		return nil, ErrTooManyConnections
	}
	return nil, nil
}

// takeIdle returns the most recently used idle connection that is usable, accepted and has been idle for Options.MinIdle, or nil if
// there is none. It closes the unusable connections that it finds.
func (p *Pool[K]) takeIdle(b *Backend, accepts func(*Conn) bool) *Conn {
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if time.Since(c.idleSince) < p.options.MinIdle || !accepts(c) {
			continue
		}
		b.idle = slices.Delete(b.idle, i, i+1)
		if p.isUsable(c) {
			return c
		}
		p.counters.Retired.Add(1)
		p.closeConn(c)
	}
	return nil
}

// reserveDial counts a connection to be dialed as open, and reports whether the limits allow it. At the connection limit
// it closes an idle connection to make room.
func (p *Pool[K]) reserveDial(b *Backend) bool {
	if b.dialing >= max(minDials, p.options.MaxConnections/dialShareDivisor) {
		return false
	}
	if p.open >= p.options.MaxConnections && !p.evictLongestIdle() {
		return false
	}
	p.open++
	b.dialing++
	return true
}

// isUsable reports whether an idle connection may take a request: it has not been idle for too long, is open, and has
// nothing unread. A write to a connection that the backend has closed would succeed, and then it would be unknown whether
// the request ran.
func (p *Pool[K]) isUsable(c *Conn) bool {
	text, open := c.Unread()
	now := time.Now()
	return now.Sub(c.idleSince) < p.idleHistory.limit(now, p.options.MaxIdle) && open && text == ""
}

// evictLongestIdle closes the connection that has been idle longest, and reports whether there was one.
func (p *Pool[K]) evictLongestIdle() bool {
	var longest *Backend
	for _, b := range p.backends {
		if len(b.idle) > 0 && (longest == nil || b.idle[0].idleSince.Before(longest.idle[0].idleSince)) {
			longest = b
		}
	}
	if longest == nil {
		return false
	}
	p.closeConn(longest.idle[0])
	longest.idle = append(longest.idle[:0], longest.idle[1:]...)
	return true
}

// dialReserved dials a connection that reserveDial has counted. If ctx ends first, it returns without waiting for the dial.
func (p *Pool[K]) dialReserved(ctx context.Context, b *Backend, deadline time.Time) (*Conn, error) {
	type dialed struct {
		conn *Conn
		err  error
	}
	results := make(chan dialed) // unbuffered, so that the goroutine keeps a connection that nobody receives
	p.dials.Go(func() {
		c, err := p.connect(b, deadline)
		select {
		case results <- dialed{c, err}:
		case <-ctx.Done():
			if err == nil {
				p.Release(c, true)
			}
		}
	})
	select {
	case result := <-results:
		return result.conn, result.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connect dials a connection, and updates the counts of dials and, on failure, of connections.
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
	checked := responsehead.NewReader(tcp)
	limited := &io.LimitedReader{R: checked}
	now := time.Now()
	return &Conn{
		Conn:      tcp,
		Reader:    bufio.NewReader(limited),
		backend:   b,
		readLimit: limited,
		responses: checked,
		idleSince: now,
		createdAt: now,
	}, nil
}

// Release gives a connection back, to be kept for the next request or closed. The caller may keep a connection only if its
// response was read completely and the backend keeps it open.
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
