package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// minBodyBytesPerSecond is the minimum rate at which a request must arrive: each byte read extends the header timeout
	// by the time that it takes at this rate.
	minBodyBytesPerSecond = 64 << 10
	// A connection is kept open beyond its idle timeout by idleMarginFraction of the timeout, and at most by
	// maxIdleMargin: a request that the client sends just before the timeout must not cross the close.
	idleMarginFraction = 0.1
	maxIdleMargin      = time.Second
	// maxDiscardedBytes bounds the bytes that are discarded when a connection is closed before its request has been read.
	maxDiscardedBytes = 256 << 10
	// writeTimeout is how long a client may take to read a response.
	writeTimeout = 5 * time.Second
)

// connState is the state of a connection.
type connState uint8

const (
	// stateIdle: nothing of an unanswered request has been read.
	stateIdle connState = iota
	// stateReading: a request has been read in part.
	stateReading
	// stateServing: a request has been read, and its response has not yet been written completely.
	stateServing
	// stateClosed: nothing more is read.
	stateClosed
)

// pastDeadline is the read deadline that hertz sets to stop its disconnect watch: the read by which it detects, while a
// request is served, that the client disconnects.
var pastDeadline = time.Unix(1, 0)

// clientConn is a client connection. It derives its state from the read deadlines that hertz sets, and replaces them by
// the timeouts of the current configuration.
//
// Reads and state changes happen under one mutex. closeIfIdle therefore closes a connection only if no part of a request
// has been read from it.
type clientConn struct {
	*net.TCPConn
	raw       syscall.RawConn
	server    *server
	closeOnce sync.Once

	mutex            sync.Mutex
	state            connState
	stateSince       time.Time // when the state began
	bytesRead        int64     // bytes read in stateReading
	requestStartedAt time.Time // when the first bytes of the current request were read
	readAhead        bool      // whether a part of the next request was read in stateServing
	// stoppingWatch is set while hertz stops its disconnect watch.
	stoppingWatch bool
}

// newClientConn returns the clientConn of a new connection, in stateIdle.
func newClientConn(tcp *net.TCPConn, owner *server) (*clientConn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &clientConn{TCPConn: tcp, raw: raw, server: owner, stateSince: time.Now()}
	c.setReadDeadline()
	return c, nil
}

// Read reads the available bytes. If there are none, it waits until some arrive or the read deadline passes.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	waitErr := c.raw.Read(func(fd uintptr) bool {
		n, err = c.readNow(int(fd), p)
		return !errors.Is(err, syscall.EAGAIN)
	})
	if waitErr != nil && c.endedIdle() {
		return 0, io.EOF // after another error, hertz would write a response although no request was sent
	}
	if waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// endedIdle reports whether a read that failed was waiting for a request of which nothing had arrived.
func (c *clientConn) endedIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.stoppingWatch && (c.state == stateIdle || c.state == stateClosed)
}

// readNow reads without waiting. It returns EAGAIN if nothing has arrived.
func (c *clientConn) readNow(fd int, p []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state == stateClosed {
		return 0, io.EOF // hertz would write a response after any other error
	}
	for {
		n, err := syscall.Read(fd, p)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case err != nil:
			return 0, err
		case n == 0:
			return 0, io.EOF
		}
		c.recordRead(n)
		return n, nil
	}
}

// recordRead updates the state after n bytes have been read. The caller holds the mutex.
func (c *clientConn) recordRead(n int) {
	switch c.state {
	case stateIdle:
		c.setState(stateReading)
		c.bytesRead = int64(n)
		c.setReadDeadline()
	case stateReading:
		c.bytesRead += int64(n)
	case stateServing:
		c.readAhead = true
	case stateClosed: // nothing more is read
	}
}

// setState enters a state. The caller holds the mutex.
func (c *clientConn) setState(state connState) {
	c.state = state
	c.stateSince = time.Now()
	c.bytesRead = 0
	if state == stateReading {
		c.requestStartedAt = c.stateSince
	}
}

// SetReadDeadline is called by hertz. A zero deadline means that hertz has read a request and starts its disconnect
// watch, pastDeadline that the response has been written, and any other that hertz waits for a request or the rest of
// one.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case c.state == stateClosed:
	case deadline.IsZero():
		c.setState(stateServing)
		return c.TCPConn.SetReadDeadline(time.Time{})
	case deadline.Equal(pastDeadline):
		c.finishRequest()
		c.stoppingWatch = true
		return c.TCPConn.SetReadDeadline(pastDeadline)
	default:
		c.stoppingWatch = false
		c.setReadDeadline()
	}
	return nil
}

// finishRequest enters the state after a response: stateReading if a part of the next request has been read, otherwise
// stateClosed if the server is finishing, and stateIdle if it is not. The caller holds the mutex.
func (c *clientConn) finishRequest() {
	switch {
	case c.readAhead:
		c.setState(stateReading)
	case c.server.finishing.Load():
		c.setState(stateClosed)
	default:
		c.setState(stateIdle)
	}
	c.readAhead = false
}

// setReadDeadline sets the read deadline by the state and the current configuration. The caller holds the mutex, unless
// the connection is new.
func (c *clientConn) setReadDeadline() {
	limits := c.server.limits()
	timeout := limits.IdleTimeout + min(time.Duration(idleMarginFraction*float64(limits.IdleTimeout)), maxIdleMargin)
	if c.state == stateReading {
		timeout = limits.HeaderTimeout + time.Duration(c.bytesRead)*time.Second/minBodyBytesPerSecond
	}
	_ = c.TCPConn.SetReadDeadline(c.stateSince.Add(timeout)) // an error also fails the next read
}

// closeIfIdle closes the connection unless a part of an unanswered request has been read. It reports whether it did.
func (c *clientConn) closeIfIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state != stateIdle {
		return false
	}
	c.state = stateClosed
	_ = c.TCPConn.SetReadDeadline(pastDeadline) // wakes the goroutine that waits for a request, which closes the connection
	return true
}

// idleSince returns when the connection became idle, and whether it is idle now.
func (c *clientConn) idleSince() (time.Time, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.stateSince, c.state == stateIdle
}

// requestStarted returns when the first bytes of the current request were read.
func (c *clientConn) requestStarted() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.requestStartedAt
}

// Close closes the connection and removes it from the server. Further calls do nothing and return nil.
func (c *clientConn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		c.mutex.Lock()
		c.state = stateClosed
		c.mutex.Unlock()
		err = c.TCPConn.Close()
		c.server.remove(c)
	})
	return err
}

// discardUnread closes the sending side and discards the bytes received so far: the kernel resets a connection that is
// closed with unread bytes, and the client may see the reset before it has read the error response. It does not wait for
// more bytes.
func (c *clientConn) discardUnread() {
	c.TCPConn.CloseWrite()
	c.raw.Control(func(fd uintptr) {
		var rest [4 << 10]byte
		for discarded := 0; discarded < maxDiscardedBytes; {
			n, _, err := syscall.Recvfrom(int(fd), rest[:], syscall.MSG_DONTWAIT)
			if n <= 0 && err != syscall.EINTR {
				return
			}
			discarded += max(0, n)
		}
	})
}

type connKey struct{}

// withConn returns a context that carries a connection, which connOf returns.
func withConn(c *clientConn) context.Context {
	return context.WithValue(context.Background(), connKey{}, c)
}

func connOf(ctx context.Context) *clientConn { return ctx.Value(connKey{}).(*clientConn) }
