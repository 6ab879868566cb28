package proxy

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"
)

const (
	// acceptRetryDelay is the delay before the next accept after one has failed, for example for lack of file
	// descriptors.
	acceptRetryDelay = 50 * time.Millisecond

	// readinessConnections bounds the connections of the platform's readiness checks.
	readinessConnections = 64

	// connectionRefusal is the response on a connection beyond maxConnections, which is sent without reading a request.
	connectionRefusal        = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.25\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	connectionRefusalTimeout = 20 * time.Millisecond
)

// listener accepts connections for hertz and enforces maxConnections.
type listener struct {
	*net.TCPListener
	server *server
}

// Accept returns the next connection that maxConnections allows, and refuses the others. It returns an error only if the
// listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			l.server.log.Warn("accept connection failed", zap.Error(err))
			l.server.evict()
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c := l.server.addConnection(tcp); c != nil {
			return c, nil
		}
		refuseConnection(tcp)
	}
}

// addConnection registers a new connection. It returns nil if the server is full and has no idle connection to evict.
func (s *server) addConnection(tcp *net.TCPConn) *clientConn {
	if s.isFull() && !s.evict() {
		return nil
	}
	c, err := newClientConn(tcp, s)
	if err != nil {
		return nil
	}
	s.mutex.Lock()
	s.conns[c] = struct{}{}
	s.mutex.Unlock()
	if s.finishing.Load() {
		c.closeIfIdle()
	}
	return c
}

// isFull reports whether the number of connections has reached maxConnections.
func (s *server) isFull() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.conns) >= s.maxConnections
}

// evict closes the connection that has been idle longest. It reports whether it has closed one.
func (s *server) evict() bool {
	var oldest *clientConn
	var oldestSince time.Time
	for _, c := range s.connections() {
		since, idle := c.idleSince()
		if idle && (oldest == nil || since.Before(oldestSince)) {
			oldest, oldestSince = c, since
		}
	}
	return oldest != nil && oldest.closeIfIdle()
}

// connections returns all connections.
func (s *server) connections() []*clientConn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := make([]*clientConn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// remove unregisters a connection that has been closed.
func (s *server) remove(c *clientConn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, c)
	if len(s.conns) == 0 && s.drained != nil {
		close(s.drained)
		s.drained = nil
	}
}

// refuseConnection sends connectionRefusal on a connection and closes it.
func refuseConnection(tcp *net.TCPConn) {
	// Errors do not matter: the connection is closed in any case.
	_ = tcp.SetWriteDeadline(time.Now().Add(connectionRefusalTimeout))
	_, _ = tcp.Write([]byte(connectionRefusal))
	_ = tcp.CloseWrite()
	_ = tcp.Close()
}

// drain stops accepting connections, closes the idle ones, and waits until the others have been closed after their
// responses, or until ctx ends.
func (s *server) drain(ctx context.Context) {
	s.listener.Close()
	s.finishing.Store(true)
	for _, c := range s.connections() {
		c.closeIfIdle()
	}
	select {
	case <-s.allClosed():
	case <-ctx.Done():
	}
}

// allClosed returns a channel that is closed once no connection is left.
func (s *server) allClosed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	closed := make(chan struct{})
	if len(s.conns) == 0 {
		close(closed)
		return closed
	}
	s.drained = closed
	return closed
}

// close closes the listener and all connections.
func (s *server) close() {
	s.listener.Close()
	for _, c := range s.connections() {
		_ = c.Close() // an error does not matter: the connection is not used any more
	}
}
