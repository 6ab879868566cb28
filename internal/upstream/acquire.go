package upstream

import (
	"bufio"
	"context"
	"io"
	"slices"
	"time"
)

const (
	// minDials is the number of dials that one backend may have under way, however low the limit of connections.
	minDials = 2
	// dialShareDivisor divides the limit of connections into one backend's share of dials under way.
	dialShareDivisor = 8
)

// Acquire takes an idle connection to a backend, or dials one by the deadline. If ctx ends, the dial goes on for other
// requests, since the backend has already had the cost of it. The caller must give the connection back with Release.
func (p *Pool[K]) Acquire(ctx context.Context, b *Backend, deadline time.Time) (*Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	c, err := p.takeIdleOrReserve(b)
	if c != nil || err != nil {
		return c, err
	}
	p.counters.Dialled.Add(1)
	return p.dialReserved(ctx, b, deadline)
}

// takeIdleOrReserve returns an idle connection, or nil and has then counted a connection that is to be dialed.
func (p *Pool[K]) takeIdleOrReserve(b *Backend) (*Conn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if b.closed {
		return nil, ErrClosed
	}
	if c := p.takeIdle(b); c != nil {
		return c, nil
	}
	if !p.reserveDial(b) {
		return nil, ErrTooManyConnections
	}
	return nil, nil
}

// takeIdle returns the most recently used connection that is fit for use, nil if there is none. It closes those that it
// finds unfit.
func (p *Pool[K]) takeIdle(b *Backend) *Conn {
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if time.Since(c.idleSince) < p.options.MinIdle {
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

// reserveDial counts a connection that is to be dialed, and reports whether there is room for it.
func (p *Pool[K]) reserveDial(b *Backend) bool {
	if b.dialing >= max(minDials, p.options.MaxConnections/dialShareDivisor) {
		return false
	}
	if p.open >= p.options.MaxConnections && !p.evictOldest() {
		return false
	}
	p.open++
	b.dialing++
	return true
}

// isUsable reports whether an idle connection may take a request: it is young enough, open, and has nothing unread. A write
// to one that the backend has closed would succeed, and leave open whether the request ran.
func (p *Pool[K]) isUsable(c *Conn) bool {
	text, open := c.Unread()
	now := time.Now()
	return now.Sub(c.idleSince) < p.idleHistory.limit(now, p.options.MaxIdle) && open && text == ""
}

// evictOldest closes the connection that has been idle longest, and reports whether there was one.
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

// dialReserved dials a connection that reserveDial has counted.
func (p *Pool[K]) dialReserved(ctx context.Context, b *Backend, deadline time.Time) (*Conn, error) {
	type dialed struct {
		conn *Conn
		err  error
	}
	results := make(chan dialed) // unbuffered: a connection that nobody takes stays with the goroutine that made it
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

// connect dials a connection.
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
	limited := &io.LimitedReader{R: tcp}
	now := time.Now()
	return &Conn{
		Conn:      tcp,
		Reader:    bufio.NewReader(limited),
		backend:   b,
		readLimit: limited,
		idleSince: now,
		createdAt: now,
	}, nil
}

// Release gives a connection back, to be kept for the next request or closed. Only a connection whose answer was read whole,
// and which the backend keeps open, may be kept.
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
