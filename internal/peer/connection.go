package peer

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of a connection.
const (
	maxQueuedBytes        = 4 << 20          // a request is queued only while fewer bytes are queued
	maxConcurrentRequests = 1024             // running requests of one connection
	writeBufferSize       = 64 << 10         // small frames are batched up to this size for one write
	writeTimeout          = 10 * time.Second // of one batch of frames, in case the peer does not read
	helloTimeout          = 5 * time.Second  // for the first frame of an accepted connection
	readBufferSize        = 4 << 10
)

var (
	errConnectionClosed = errors.New("connection closed")
	errQueueFull        = errors.New("too many bytes queued for the peer")
)

// connection sends frames to and receives frames from one peer over one TCP connection. It exists before its socket
// does: frames are queued while it is being dialled.
type connection struct {
	transport       *Transport
	peerAddress     netip.AddrPort // listening address of the peer
	accepted        bool           // dialled by the peer
	queueReady      chan struct{}  // wakes the writer; closed with the connection
	peerUp          chan struct{}  // signalled when the peer sends a hello or a datagram while it is being dialled
	runningRequests atomic.Int32   // requests of the peer whose handlers are running

	mutex       sync.Mutex
	socket      net.Conn // nil while being dialled
	generation  uint64   // identifies the peer's process; 0 before its hello
	queue       []queuedFrame
	queuedBytes int
	pending     map[uint64]*pendingCall // by call ID
	closed      bool
	active      bool // used since the last idle check
	retired     bool // takes no new requests or one-way messages
	idleChecks  int  // consecutive checks that found it idle
}

// newConnection returns a connection whose queue starts with the hello frame.
func newConnection(t *Transport, to netip.AddrPort) *connection {
	c := &connection{
		transport:   t,
		peerAddress: to,
		queueReady:  make(chan struct{}, 1),
		peerUp:      make(chan struct{}, 1),
		pending:     make(map[uint64]*pendingCall),
	}
	hello := &frame{frameType: helloFrame, address: t.address, generation: t.generation}
	if data, err := hello.encode(); err == nil {
		c.queue = append(c.queue, queuedFrame{data: data})
	}
	return c
}

// isBeingDialled reports whether the connection has no socket yet and is not closed.
func (c *connection) isBeingDialled() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.socket == nil && !c.closed
}

// setSocket sets the socket of a connection that was dialled. It returns false if the connection has been closed.
func (c *connection) setSocket(socket net.Conn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return false
	}
	c.socket = socket
	return true
}

// close closes the connection and fails its pending calls, with cause in their errors.
func (c *connection) close(cause error) {
	c.transport.remove(c)
	c.mutex.Lock()
	if c.closed {
		c.mutex.Unlock()
		return
	}
	c.closed = true
	pending := c.pending
	c.pending = nil
	c.queue = nil
	socket := c.socket
	close(c.queueReady)
	c.mutex.Unlock()
	if socket != nil {
		_ = socket.Close()
	}
	for _, call := range pending {
		call.result <- callResult{err: callError(call.sent, c.peerAddress, cause)}
	}
}
