package node

import (
	queue "container/list"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// clientConn is a connection of a client. It embeds *net.TCPConn: net/http would reset connections whose CloseWrite it
// doesn't see.
type clientConn struct {
	*net.TCPConn
	raw         syscall.RawConn
	owner       *admission
	once        sync.Once
	requestOpen atomic.Bool // a request is open, or has just been answered
	refused     atomic.Bool // the node has answered what was no whole request yet
	ahead       []byte      // read behind an open request; only one goroutine reads at a time

	// Under the owner's lock.
	list    *queue.List // that it waits in, or nil
	element *queue.Element
	since   time.Time
	evicted bool

	reading          sync.Mutex // held with the owner's lock or without it, and over each read of the socket
	received         bool       // something of a further request was read
	waiting          bool       // the reader has seen that there is nothing to read
	closedForReading bool       // by the node: nothing is read any more
}

// readAheadStep is the number of bytes that are read ahead at once.
const readAheadStep = 512

var errFlood = errors.New("the client floods behind an open request")

// Read reads for net/http. While a request is open net/http reads a single byte, to notice that the client leaves, and a
// byte that comes would end that watch: what comes is kept here instead, until the request is answered. A client sends one
// request at a time: the connection of one that sends more than can be kept is closed, or its leaving would stay unnoticed
// behind what it has sent.
func (c *clientConn) Read(p []byte) (int, error) {
	if len(c.ahead) > 0 && !(len(p) == 1 && c.requestOpen.Load()) {
		n := copy(p, c.ahead)
		c.ahead = c.ahead[n:]
		return n, nil
	}
	if len(p) != 1 || !c.requestOpen.Load() {
		return c.receive(p)
	}
	for len(c.ahead) <= c.owner.readAhead {
		var next [readAheadStep]byte
		n, err := c.receive(next[:])
		if err != nil {
			return 0, err
		}
		c.ahead = append(c.ahead, next[:n]...)
	}
	return 0, errFlood
}

// closeIfQuiet closes the connection for reading if nothing of a further request has been read, or waits to be, and
// reports whether it is closed. What comes from then on is not read: then its client knows that it may send it again. With
// readerWaits the reader must have seen that there is nothing.
func (c *clientConn) closeIfQuiet(readerWaits bool) bool {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.received || c.closedForReading || readerWaits && !c.waiting {
		return false
	}
	err := c.raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		c.closedForReading = n <= 0 && err != syscall.EINTR
	})
	return err == nil && c.closedForReading
}

// closeForReading has nothing read from the connection any more. It returns true.
func (c *clientConn) closeForReading() bool {
	c.reading.Lock()
	defer c.reading.Unlock()
	c.closedForReading = true
	return true
}

// refuse writes an answer of the node's own. No request may be open, so that nobody else writes.
func (c *clientConn) refuse() {
	c.refused.Store(true)
	writeRefusal(c.TCPConn)
}

// receive reads from the socket unless the connection is closed for reading.
func (c *clientConn) receive(p []byte) (n int, err error) {
	rawErr := c.raw.Read(func(fd uintptr) bool {
		c.reading.Lock()
		defer c.reading.Unlock()
		if c.closedForReading {
			err = net.ErrClosed
			return true
		}
		for n, err = syscall.Read(int(fd), p); err == syscall.EINTR; n, err = syscall.Read(int(fd), p) {
		}
		c.waiting = err == syscall.EAGAIN
		c.received = c.received || n > 0
		return !c.waiting
	})
	switch {
	case rawErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: rawErr}
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: err}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// wait puts the connection at the end of a list, under the owner's lock.
func (c *clientConn) wait(l *queue.List) {
	c.leave()
	c.list, c.since = l, time.Now()
	c.element = l.PushBack(c)
}

// leave takes the connection out of its list, under the owner's lock.
func (c *clientConn) leave() {
	if c.list != nil {
		c.list.Remove(c.element)
		c.list, c.element = nil, nil
	}
}

// wasEvicted reports whether the connection was closed to make room while a request was on its way. That request must not
// be sent on.
func (c *clientConn) wasEvicted() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.evicted
}

// Close closes the connection once, behind the answer if there is one.
func (c *clientConn) Close() error {
	err := net.ErrClosed
	c.once.Do(func() {
		if c.requestOpen.Load() || c.refused.Load() {
			err = hangUp(c.TCPConn)
		} else { // a request that crosses the close stays unread: then its client may send it again
			err = c.TCPConn.Close()
		}
		c.owner.mu.Lock()
		defer c.owner.mu.Unlock()
		c.leave()
		c.owner.count--
	})
	return err
}
