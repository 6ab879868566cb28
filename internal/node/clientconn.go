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

// clientConn is a client's connection. It embeds *net.TCPConn because net/http resets connections that have no
// CloseWrite.
type clientConn struct {
	*net.TCPConn
	raw           syscall.RawConn
	listener      *clientListener
	closeOnce     sync.Once
	requestOpen   atomic.Bool // a request is open, or its response has just been written
	refused       atomic.Bool // the node has refused the connection, on which no complete request had arrived
	bufferedAhead []byte      // read while a request was open; only one goroutine reads at a time

	// Guarded by listener.mu.
	waitQueue    *queue.List // the list of the listener that contains this connection, or nil
	element      *queue.Element
	waitingSince time.Time
	evicted      bool

	readMu           sync.Mutex // held during each read of the socket; acquired with or without listener.mu held
	requestBegun     bool       // part of a further request was read
	readerWaiting    bool       // the reader found nothing to read
	closedForReading bool       // by the node: no more data is read
}

// readAheadStep is the maximum number of bytes of a read while a request is open.
const readAheadStep = 512

var errFlood = errors.New("too much data from the client while a request is open")

// Read reads for net/http. While a request is open, net/http reads a single byte to detect that the client disconnects,
// and receiving a byte would end that detection. Read therefore buffers the data that arrives until the request is
// answered. A client sends one request at a time: a connection with more data than fits into the buffer is closed, because
// a disconnect after unread data would not be detected.
func (c *clientConn) Read(p []byte) (int, error) {
	if len(c.bufferedAhead) > 0 && !(len(p) == 1 && c.requestOpen.Load()) {
		n := copy(p, c.bufferedAhead)
		c.bufferedAhead = c.bufferedAhead[n:]
		return n, nil
	}
	if len(p) != 1 || !c.requestOpen.Load() {
		return c.readSocket(p)
	}
	for len(c.bufferedAhead) <= c.listener.readAheadLimit {
		var next [readAheadStep]byte
		n, err := c.readSocket(next[:])
		if err != nil {
			return 0, err
		}
		c.bufferedAhead = append(c.bufferedAhead, next[:n]...)
	}
	return 0, errFlood
}

// closeForReadingIfInactive closes the connection for reading if no data of a further request has been read or waits in
// the kernel, and reports whether it did. Data that arrives later is not read, so the client knows that it may send the
// request again. With readerWaits the reader must also have found nothing to read.
func (c *clientConn) closeForReadingIfInactive(readerWaits bool) bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.requestBegun || c.closedForReading || readerWaits && !c.readerWaiting {
		return false
	}
	err := c.raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		c.closedForReading = n <= 0 && err != syscall.EINTR
	})
	return err == nil && c.closedForReading
}

// closeForReading stops all further reads from the connection. It returns true.
func (c *clientConn) closeForReading() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.closedForReading = true
	return true
}

// refuse writes a response by the node itself. No request may be open, so that there is no other writer.
func (c *clientConn) refuse() {
	c.refused.Store(true)
	writeRefusal(c.TCPConn)
}

// readSocket reads from the socket unless the connection is closed for reading.
func (c *clientConn) readSocket(p []byte) (n int, err error) {
	rawErr := c.raw.Read(func(fd uintptr) bool {
		c.readMu.Lock()
		defer c.readMu.Unlock()
		if c.closedForReading {
			err = net.ErrClosed
			return true
		}
		for n, err = syscall.Read(int(fd), p); err == syscall.EINTR; n, err = syscall.Read(int(fd), p) {
		}
		c.readerWaiting = err == syscall.EAGAIN
		c.requestBegun = c.requestBegun || n > 0
		return !c.readerWaiting
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

// enqueue moves the connection to the end of a list. The caller holds listener.mu.
func (c *clientConn) enqueue(l *queue.List) {
	c.dequeue()
	c.waitQueue, c.waitingSince = l, time.Now()
	c.element = l.PushBack(c)
}

// dequeue removes the connection from its list. The caller holds listener.mu.
func (c *clientConn) dequeue() {
	if c.waitQueue != nil {
		c.waitQueue.Remove(c.element)
		c.waitQueue, c.element = nil, nil
	}
}

// wasEvicted reports whether the connection was evicted. A request that arrived at the same time must not be forwarded.
func (c *clientConn) wasEvicted() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.evicted
}

// Close closes the connection, after its response if there is one. Further calls return net.ErrClosed.
func (c *clientConn) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		if c.requestOpen.Load() || c.refused.Load() {
			err = closeAfterResponse(c.TCPConn)
		} else { // a request that arrives during the close stays unread, so the client may send it again
			err = c.TCPConn.Close()
		}
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.dequeue()
		c.listener.count--
	})
	return err
}
