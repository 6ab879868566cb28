package node

import (
	queue "container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// minIdle is the time for which a connection with no request open is kept at least.
	minIdle = 2 * time.Second
	// minFresh is the same for one that has brought no request yet; it is shorter, as clients send at once.
	minFresh = 250 * time.Millisecond
	// minReadAhead and maxReadAhead bound the bytes that a client sends behind an open request and that are kept for the
	// next one: a whole request at most.
	minReadAhead = 4 << 10
	maxReadAhead = maxRequestHeader + maxBody
)

// admission is a listener that always accepts clients' connections, and bounds them: at the bound the one that has waited
// longest with no request open makes room, else the new one is refused. So clients that send nothing shut out nobody.
type admission struct {
	*net.TCPListener
	limit     int
	readAhead int // bytes behind an open request that are kept
	stats     *stats

	mu    sync.Mutex
	count int         // of open connections
	fresh *queue.List // of *clientConn that have brought no request yet; the longest wait is first
	idle  *queue.List // of *clientConn with no request open; the longest wait is first
}

func newAdmission(l *net.TCPListener, limit int) *admission {
	return &admission{
		TCPListener: l,
		limit:       limit,
		readAhead:   maxReadAhead,
		stats:       &stats{},
		fresh:       queue.New(),
		idle:        queue.New(),
	}
}

// Accept returns the next connection that there is room for.
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

// admit returns the connection to be served, once another has made room if need be; nil if none can.
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
		_ = old.Close() // nothing depends on how it closes
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

// openConnections returns the number of clients' connections.
func (a *admission) openConnections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.count
}

// evictionCandidate returns the connection that is to make room, closed for reading, or nil if none may be closed. One of
// which nothing has been read goes first. begun reports that a request has begun on it, which has to be answered.
func (a *admission) evictionCandidate() (c *clientConn, begun bool) {
	for _, from := range []struct {
		conns   *queue.List
		minWait time.Duration
		begun   bool
	}{{a.idle, minIdle, false}, {a.fresh, minFresh, false}, {a.fresh, minFresh, true}} {
		for e := from.conns.Front(); e != nil && time.Since(e.Value.(*clientConn).since) >= from.minWait; e = e.Next() {
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
		_ = c.Close() // nothing depends on how it closes
	}
}

// refuseRest answers, and closes, connections on which no request is open: what has come of one has come too late.
func (a *admission) refuseRest() {
	for _, c := range a.takeResting((*clientConn).closeForReading) {
		c.refuse()
		_ = c.Close() // nothing depends on how it closes
	}
}

// takeResting takes out the connections with no request open that closeForReading closes for reading.
func (a *admission) takeResting(closeForReading func(*clientConn) bool) (taken []*clientConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range []*queue.List{a.fresh, a.idle} {
		for e := l.Front(); e != nil; {
			c := e.Value.(*clientConn)
			e = e.Next()
			if closeForReading(c) {
				c.leave()
				c.evicted = true
				taken = append(taken, c)
			}
		}
	}
	return taken
}

// track follows the state of a connection in net/http. It becomes active when a header has been read.
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
