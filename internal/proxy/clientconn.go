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
	// minBodyRate is the least rate, in bytes a second, at which a request must arrive after the time for its header.
	minBodyRate = 64 << 10
	// A connection is kept longer than its idle timeout by idleReserveFraction of it, and at most by maxIdleReserve: a client
	// may send a request just before the timeout, which must not meet the close.
	idleReserveFraction = 0.1
	maxIdleReserve      = time.Second
	// maxDiscarded bounds the bytes that are discarded when a connection is closed with a request that was not read.
	maxDiscarded = 256 << 10
	// writeTimeout is how long a client may take to read what it is sent.
	writeTimeout = 5 * time.Second
)

// connState is what a connection is doing.
type connState uint8

const (
	// stateIdle: nothing of an unanswered request has been read.
	stateIdle connState = iota
	// stateReading: a request has been read in part.
	stateReading
	// stateServing: a request has been read, and its answer is not yet written whole.
	stateServing
	// stateClosed: nothing is read any more.
	stateClosed
)

// pastDeadline is the deadline by which hertz ends the read that detects whether a client leaves.
var pastDeadline = time.Unix(1, 0)

// clientConn is the connection of a client. It interprets the deadlines that hertz sets: they show what the connection is
// doing. How long that may take is decided here, by the configuration in force.
//
// Reads and changes of state are made under one mutex, so that whoever closes an idle connection knows that nothing of a
// request has been read from it.
type clientConn struct {
	*net.TCPConn
	raw       syscall.RawConn
	server    *server
	closeOnce sync.Once

	mutex            sync.Mutex
	state            connState
	stateSince       time.Time // when the state began
	bytesRead        int64     // bytes read in stateReading
	requestStartedAt time.Time // first bytes of the request that is read or served
	readAhead        bool      // something of the next request was read in stateServing
	// aborting: the read that detects whether the client leaves is being ended.
	aborting bool
}

// newClientConn returns an idle connection.
func newClientConn(tcp *net.TCPConn, owner *server) (*clientConn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &clientConn{TCPConn: tcp, raw: raw, server: owner, stateSince: time.Now()}
	c.setReadDeadline()
	return c, nil
}

// Read reads what has come, or waits until something comes or the deadline of the state passes.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	waitErr := c.raw.Read(func(fd uintptr) bool {
		n, err = c.readNow(int(fd), p)
		return !errors.Is(err, syscall.EAGAIN)
	})
	if waitErr != nil && c.endedIdle() {
		return 0, io.EOF // hertz would answer a request that nobody sent
	}
	if waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// endedIdle reports whether a read has ended because no request came.
func (c *clientConn) endedIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.aborting && (c.state == stateIdle || c.state == stateClosed)
}

// readNow reads without waiting.
func (c *clientConn) readNow(fd int, p []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state == stateClosed {
		return 0, io.EOF // hertz would answer any other error
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

// recordRead counts bytes that were read of a request.
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
	case stateClosed: // nothing is read any more
	}
}

// setState begins a state.
func (c *clientConn) setState(state connState) {
	c.state = state
	c.stateSince = time.Now()
	c.bytesRead = 0
	if state == stateReading {
		c.requestStartedAt = c.stateSince
	}
}

// SetReadDeadline is called by hertz: without a deadline when it has read a request and watches whether the client leaves,
// with pastDeadline when it has answered, and with others when it waits for a request or the rest of one.
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
		c.aborting = true
		return c.TCPConn.SetReadDeadline(pastDeadline)
	default:
		c.aborting = false
		c.setReadDeadline()
	}
	return nil
}

// finishRequest goes on to the next request, of which something may have been read. If not, and the server is finishing, the
// connection is closed.
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

// setReadDeadline sets how long the next bytes of a request may take.
func (c *clientConn) setReadDeadline() {
	limits := c.server.limits()
	timeout := limits.IdleTimeout + min(time.Duration(idleReserveFraction*float64(limits.IdleTimeout)), maxIdleReserve)
	if c.state == stateReading {
		timeout = limits.HeaderTimeout + time.Duration(c.bytesRead)*time.Second/minBodyRate
	}
	_ = c.TCPConn.SetReadDeadline(c.stateSince.Add(timeout)) // a broken connection fails its next read
}

// closeIfIdle closes a connection unless something of an unanswered request has been read. It reports whether it did.
func (c *clientConn) closeIfIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state != stateIdle {
		return false
	}
	c.state = stateClosed
	_ = c.TCPConn.SetReadDeadline(pastDeadline) // the goroutine that waits for a request closes the connection
	return true
}

// idleSince returns since when the connection has been idle, and whether it is.
func (c *clientConn) idleSince() (time.Time, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.stateSince, c.state == stateIdle
}

// requestStarted returns when the first bytes of the present request came.
func (c *clientConn) requestStarted() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.requestStartedAt
}

// Close closes the connection, once.
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

// discardUnread ends the sending side and discards what has come: a close with unread bytes is a reset, which may overtake the
// answer that explains it. It does not wait for more bytes.
func (c *clientConn) discardUnread() {
	c.TCPConn.CloseWrite()
	c.raw.Control(func(fd uintptr) {
		var rest [4 << 10]byte
		for discarded := 0; discarded < maxDiscarded; {
			n, _, err := syscall.Recvfrom(int(fd), rest[:], syscall.MSG_DONTWAIT)
			if n <= 0 && err != syscall.EINTR {
				return
			}
			discarded += max(0, n)
		}
	})
}

type connKey struct{}

// withConn returns the context of a connection, from which connOf returns the connection.
func withConn(c *clientConn) context.Context {
	return context.WithValue(context.Background(), connKey{}, c)
}

func connOf(ctx context.Context) *clientConn { return ctx.Value(connKey{}).(*clientConn) }
