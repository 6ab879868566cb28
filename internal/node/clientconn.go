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

// clientConn embeds *net.TCPConn: net/http would reset connections whose CloseWrite it doesn't see.
type clientConn struct {
	*net.TCPConn
	raw         syscall.RawConn
	owner       *admission
	once        sync.Once
	requestOpen atomic.Bool // a request is, or has just been answered
	refused     atomic.Bool // the node has answered what was no whole request yet
	ahead       []byte      // what was read behind an open request; only one goroutine reads at a time

	// Under the owner's lock.
	list    *queue.List // that it waits in, if it does
	element *queue.Element
	since   time.Time
	evicted bool

	reading          sync.Mutex // held with the owner's lock or without it, and over each read of the socket
	received         bool       // something of a further request was read
	waiting          bool       // whoever reads has seen that there is nothing
	closedForReading bool       // by the node: nothing is read any more
}

var errFlood = errors.New("the client floods behind an open request")

// Read reads for net/http. While a request is open that reads a single byte, to see the client's going, and a byte that
// comes would end its watch: what comes is kept here instead, until the request is answered. A client sends one request at
// a time: one that sends more than can be kept is cut, or its going would stay unseen behind what it has sent.
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
		var next [512]byte
		n, err := c.receive(next[:])
		if err != nil {
			return 0, err
		}
		c.ahead = append(c.ahead, next[:n]...)
	}
	return 0, errFlood
}

// shutQuiet shuts the connection if nothing of a further request has been read, or waits to be. What comes from then on
// is not read: then its client knows that it may send it again. seen: whoever reads has to have looked.
func (c *clientConn) closeIfQuiet(seen bool) bool {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.received || c.closedForReading || seen && !c.waiting {
		return false
	}
	err := c.raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		c.closedForReading = n <= 0 && err != syscall.EINTR
	})
	return err == nil && c.closedForReading
}

func (c *clientConn) closeForReading() bool {
	c.reading.Lock()
	defer c.reading.Unlock()
	c.closedForReading = true
	return true
}

// refuse writes an answer of the node's own where no request is open, so that nobody else writes.
func (c *clientConn) refuse() {
	c.refused.Store(true)
	writeRefusal(c.TCPConn)
}

// receive reads from the socket unless the connection is shut.
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

func (c *clientConn) wait(l *queue.List) {
	c.leave()
	c.list, c.since = l, time.Now()
	c.element = l.PushBack(c)
}

func (c *clientConn) leave() {
	if c.list != nil {
		c.list.Remove(c.element)
		c.list, c.element = nil, nil
	}
}

// lost tells whether the connection was closed to make room while a request was on its way. Nothing may be sent on for it.
func (c *clientConn) wasEvicted() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.evicted
}

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
