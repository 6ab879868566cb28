package proxy

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// bodyRate is the least speed, in bytes a second, at which a request has to come once its time for the header is over.
	minBodyRate = 64 << 10
	// idleReserve is the part of the idle time-out, and mostIdleReserve the greatest time, by which a connection is kept for longer: a
	// client may send a request just before its time is over, and that must not meet the close.
	idleReserveFraction = 0.1
	maxIdleReserve      = time.Second
	// hangUpLimit bounds the bytes that are thrown away when a connection is closed over a request that was not read.
	maxDiscarded = 256 << 10
	// writeWait is how long a client may take to read what it is sent.
	writeTimeout = 5 * time.Second
)

// connState is what a connection is about.
type connState uint8

const (
	// waiting: nothing of a request has been read that is not answered.
	stateIdle connState = iota
	// reading: a part of a request has been read.
	stateReading
	// serving: a request has been read, and its answer is not written whole.
	stateServing
	// shut: nothing is read any more.
	stateClosed
)

// longPast is the deadline by which hertz ends the read that senses whether a client leaves.
var pastDeadline = time.Unix(1, 0)

// clientConn is the connection of a client. It takes over the deadlines that hertz sets: what hertz asks for tells what the
// connection is about, and how long that may take is decided here, by the configuration in force.
//
// Reads and changes of state are made under one lock, so that whoever closes a waiting connection knows that nothing of a
// request has been read from it.
type clientConn struct {
	*net.TCPConn
	raw       syscall.RawConn
	server    *server
	closeOnce sync.Once

	mutex            sync.Mutex
	state            connState
	stateSince       time.Time // of the state
	bytesRead        int64     // bytes read in the state reading
	requestStartedAt time.Time // of the request that is read or served
	readAhead        bool      // something of the next request was read while serving
	// aborting: the read that senses whether the client leaves is being ended.
	aborting bool
}

func newClientConn(tcp *net.TCPConn, owner *server) (*clientConn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &clientConn{TCPConn: tcp, raw: raw, server: owner, stateSince: time.Now()}
	c.setReadDeadline()
	return c, nil
}

// Read reads what has come, or waits for it.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	waited := c.raw.Read(func(fd uintptr) bool {
		n, err = c.readNow(int(fd), p)
		return err != syscall.EAGAIN
	})
	if waited != nil && c.expectsNothing() {
		return 0, io.EOF // hertz would answer what nobody asked
	}
	if waited != nil {
		return 0, waited
	}
	return n, err
}

// idle tells whether a read has ended because no request came.
func (c *clientConn) expectsNothing() bool {
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
		case err == syscall.EINTR:
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

// heard notes that something of a request was read.
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
	}
}

func (c *clientConn) setState(state connState) {
	c.state = state
	c.stateSince = time.Now()
	c.bytesRead = 0
	if state == stateReading {
		c.requestStartedAt = c.stateSince
	}
}

// SetReadDeadline is called by hertz: without a deadline when it has read a request and watches whether the client leaves,
// with one long past when it has answered, and with others when it waits for a request or its parts.
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

// answered goes on to the next request, of which something may have been read. If not, and no more are served, the
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

// setReadDeadline sets how long the next part of a request may take.
func (c *clientConn) setReadDeadline() {
	limits := c.server.limits()
	wait := limits.IdleTimeout + min(time.Duration(idleReserveFraction*float64(limits.IdleTimeout)), maxIdleReserve)
	if c.state == stateReading {
		wait = limits.HeaderTimeout + time.Duration(c.bytesRead)*time.Second/minBodyRate
	}
	c.TCPConn.SetReadDeadline(c.stateSince.Add(wait))
}

// closeIfWaiting closes a connection of which nothing of a request has been read that is not answered.
func (c *clientConn) closeIfIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state != stateIdle {
		return false
	}
	c.state = stateClosed
	c.TCPConn.SetReadDeadline(pastDeadline) // whoever waits for a request closes the connection
	return true
}

// waitingSince tells since when nothing is open on the connection, if so.
func (c *clientConn) idleSince() (time.Time, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.stateSince, c.state == stateIdle
}

// requestBegan tells when the first bytes of the request that is being served came.
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

// discardUnread ends the sending side and throws away what has come: a close over unread bytes is a reset, which may
// overtake the answer that tells why. Nobody waits for more.
func (c *clientConn) discardUnread() {
	c.TCPConn.CloseWrite()
	c.raw.Control(func(fd uintptr) {
		var rest [4 << 10]byte
		for thrown := 0; thrown < maxDiscarded; {
			n, _, err := syscall.Recvfrom(int(fd), rest[:], syscall.MSG_DONTWAIT)
			if n <= 0 && err != syscall.EINTR {
				return
			}
			thrown += max(0, n)
		}
	})
}

type connKey struct{}

func withConn(c *clientConn) context.Context {
	return context.WithValue(context.Background(), connKey{}, c)
}

func connOf(ctx context.Context) *clientConn { return ctx.Value(connKey{}).(*clientConn) }
