package node

import (
	queue "container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// minIdleTime is the minimum time for which a connection without an open request is kept.
	minIdleTime = 2 * time.Second
	// minFreshTime is the same for a connection that has had no request yet. It is shorter because clients send their
	// request right after connecting.
	minFreshTime = 250 * time.Millisecond
	// minReadAhead and maxReadAhead bound the number of bytes that are buffered if a client sends data while its
	// request is open. The buffer holds one whole request at most.
	minReadAhead = 4 << 10
	maxReadAhead = maxRequestHeader + maxBody
)

// clientListener accepts client connections and limits their number. At the limit it evicts the connection that has
// been without an open request for the longest time, or refuses the new one if none can be evicted. Clients that send
// nothing therefore cannot lock out others.
type clientListener struct {
	*net.TCPListener
	limit          int
	readAheadLimit int // bytes that are buffered while a request is open
	stats          *stats

	mu    sync.Mutex
	count int         // open connections
	fresh *queue.List // *clientConn that have had no request yet, the longest wait first
	idle  *queue.List // *clientConn between two requests, the longest wait first
}

func newClientListener(l *net.TCPListener, limit int) *clientListener {
	return &clientListener{
		TCPListener:    l,
		limit:          limit,
		readAheadLimit: maxReadAhead,
		stats:          &stats{},
		fresh:          queue.New(),
		idle:           queue.New(),
	}
}

// Accept returns the next connection that fits the limit. It refuses those that do not.
func (cl *clientListener) Accept() (net.Conn, error) {
	for {
		tcp, err := cl.AcceptTCP()
		if err != nil {
			return nil, err
		}
		cl.stats.accepted.Add(1)
		if c := cl.admit(tcp); c != nil {
			return c, nil
		}
		cl.stats.connsRefused.Add(1)
		refuseConnection(tcp)
	}
}

// admit returns the connection to serve, after evicting others if necessary, or nil if none can be evicted.
func (cl *clientListener) admit(tcp *net.TCPConn) *clientConn {
	cl.mu.Lock()
	for cl.count >= cl.limit {
		old, begun := cl.evictionCandidate()
		if old == nil {
			cl.mu.Unlock()
			return nil
		}
		old.dequeue()
		old.evicted = true
		cl.stats.evicted.Add(1)
		cl.mu.Unlock()
		if begun {
			old.refuse()
		}
		_ = old.Close() // nothing depends on how it closes
		cl.mu.Lock()
	}
	defer cl.mu.Unlock()
	cl.count++
	raw, err := tcp.SyscallConn()
	if err != nil { // SyscallConn fails for nil connections only
		panic(err)
	}
	c := &clientConn{TCPConn: tcp, raw: raw, listener: cl}
	c.enqueue(cl.fresh)
	return c
}

// openConnections returns the number of open client connections.
func (cl *clientListener) openConnections() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.count
}

// evictionCandidate returns the connection to evict, after closing it for reading, or nil if none may be evicted. It
// prefers connections from which nothing has been read. begun reports that part of a request has arrived on the
// connection, so that the node has to answer it.
func (cl *clientListener) evictionCandidate() (c *clientConn, begun bool) {
	for _, from := range []struct {
		conns   *queue.List
		minWait time.Duration
		begun   bool
	}{{cl.idle, minIdleTime, false}, {cl.fresh, minFreshTime, false}, {cl.fresh, minFreshTime, true}} {
		for e := from.conns.Front(); e != nil && time.Since(e.Value.(*clientConn).waitingSince) >= from.minWait; e = e.Next() {
			c := e.Value.(*clientConn)
			if from.begun {
				c.closeForReading()
				return c, true
			}
			if c.closeForReadingIfInactive(false) {
				return c, false
			}
		}
	}
	return nil, false
}

// closeInactive closes the connections on which nothing has arrived since their last response, or at all.
func (cl *clientListener) closeInactive() {
	for _, c := range cl.takeWithoutRequest(func(c *clientConn) bool { return c.closeForReadingIfInactive(true) }) {
		_ = c.Close() // nothing depends on how it closes
	}
}

// refuseRemaining answers and closes the connections without an open request: a request that has arrived only in part
// is too late.
func (cl *clientListener) refuseRemaining() {
	for _, c := range cl.takeWithoutRequest((*clientConn).closeForReading) {
		c.refuse()
		_ = c.Close() // nothing depends on how it closes
	}
}

// takeWithoutRequest removes and returns the connections without an open request that closeForReading closes for
// reading. The caller has to close them.
func (cl *clientListener) takeWithoutRequest(closeForReading func(*clientConn) bool) (taken []*clientConn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, l := range []*queue.List{cl.fresh, cl.idle} {
		for e := l.Front(); e != nil; {
			c := e.Value.(*clientConn)
			e = e.Next()
			if closeForReading(c) {
				c.dequeue()
				c.evicted = true
				taken = append(taken, c)
			}
		}
	}
	return taken
}

// track is the ConnState hook of the HTTP server. A connection becomes active when a header has been read.
func (cl *clientListener) track(conn net.Conn, state http.ConnState) {
	c := conn.(*clientConn)
	c.requestOpen.Store(state == http.StateActive)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	switch {
	case c.evicted:
	case state == http.StateIdle:
		c.readMu.Lock()
		c.requestBegun, c.readerWaiting = len(c.bufferedAhead) > 0, false
		c.readMu.Unlock()
		c.enqueue(cl.idle)
	case state != http.StateNew:
		c.dequeue()
	}
}
