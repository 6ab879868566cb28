package node

import (
	queue "container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	minIdle      = 2 * time.Second            // a connection without a request is kept so long at least
	minFresh     = 250 * time.Millisecond     // one that has brought no request yet may go sooner: clients send at once
	minReadAhead = 4 << 10                    // bytes that a client sends behind an open request and that are kept for the next:
	maxReadAhead = maxRequestHeader + maxBody // a whole one at most
	// hangUpLimit bounds the bytes that are thrown away at a close. It is what net/http reads of a body for the same end.
	maxDiscarded    = 256 << 10
	refusalResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// admission accepts clients' connections, always, and bounds them: at the bound the one that has waited longest
// with no request open makes room, else the new one is refused. Silent clients then shut out nobody.
type admission struct {
	*net.TCPListener
	limit     int
	readAhead int // bytes behind an open request that are kept
	stats     *stats

	mu          sync.Mutex
	count       int
	fresh, idle *queue.List // of *clientConn: no request yet; none open now. The longest wait is first
}

func newAdmission(l *net.TCPListener, limit int) *admission {
	return &admission{TCPListener: l, limit: limit, readAhead: maxReadAhead, stats: &stats{}, fresh: queue.New(), idle: queue.New()}
}

func (a *admission) Accept() (net.Conn, error) {
	for {
		tcp, err := a.AcceptTCP()
		if err != nil {
			return nil, err
		}
		a.stats.accepted.Add(1)
		if c := a.admit(tcp); c != nil {
			return c, nil
		}
		a.stats.turnedAway.Add(1)
		turnAway(tcp)
	}
}

func (a *admission) admit(tcp *net.TCPConn) *clientConn {
	a.mu.Lock()
	for a.count >= a.limit {
		old, begun := a.evictionCandidate()
		if old == nil {
			a.mu.Unlock()
			return nil
		}
		old.leave()
		old.evicted = true
		a.stats.evicted.Add(1)
		a.mu.Unlock()
		if begun {
			old.refuse()
		}
		old.Close()
		a.mu.Lock()
	}
	defer a.mu.Unlock()
	a.count++
	raw, err := tcp.SyscallConn()
	if err != nil { // nil connections alone
		panic(err)
	}
	c := &clientConn{TCPConn: tcp, raw: raw, owner: a}
	c.wait(a.fresh)
	return c
}

func (a *admission) openConnections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.count
}

// longest gives the connection that is to make room, if one may be closed, and shuts it. One of which nothing has been
// read goes first; a request that has begun, and does not go on, is answered.
func (a *admission) evictionCandidate() (c *clientConn, begun bool) {
	for _, from := range []struct {
		l     *queue.List
		least time.Duration
		begun bool
	}{{a.idle, minIdle, false}, {a.fresh, minFresh, false}, {a.fresh, minFresh, true}} {
		for e := from.l.Front(); e != nil && time.Since(e.Value.(*clientConn).since) >= from.least; e = e.Next() {
			c := e.Value.(*clientConn)
			if from.begun {
				c.closeForReading()
				return c, true
			}
			if c.closeIfQuiet(false) {
				return c, false
			}
		}
	}
	return nil, false
}

// closeQuiet closes connections on which nothing has come since their last answer, or at all.
func (a *admission) closeQuiet() {
	for _, c := range a.takeResting(func(c *clientConn) bool { return c.closeIfQuiet(true) }) {
		c.Close()
	}
}

// refuseRest answers, and closes, connections on which no request is open: what has come of one has come too late.
func (a *admission) refuseRest() {
	for _, c := range a.takeResting((*clientConn).closeForReading) {
		c.refuse()
		c.Close()
	}
}

// resting takes the connections with no request open of which shut is true.
func (a *admission) takeResting(shut func(*clientConn) bool) (taken []*clientConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range []*queue.List{a.fresh, a.idle} {
		for e := l.Front(); e != nil; {
			c := e.Value.(*clientConn)
			e = e.Next()
			if shut(c) {
				c.leave()
				c.evicted = true
				taken = append(taken, c)
			}
		}
	}
	return taken
}

// track follows what the server does with a connection. It becomes active when a header has been read.
func (a *admission) track(conn net.Conn, state http.ConnState) {
	c := conn.(*clientConn)
	c.requestOpen.Store(state == http.StateActive)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case c.evicted:
	case state == http.StateIdle:
		c.reading.Lock()
		c.received, c.waiting = len(c.ahead) > 0, false
		c.reading.Unlock()
		c.wait(a.idle)
	case state != http.StateNew:
		c.leave()
	}
}
