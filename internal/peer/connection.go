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
	maxQueuedBytes        = 4 << 20          // a request is queued only while fewer bytes are
	maxConcurrentRequests = 1024             // requests of one peer
	writeBufferSize       = 64 << 10         // small frames are joined up to this size for one write
	writeTimeout          = 10 * time.Second // for one write, to a peer that does not read
	helloTimeout          = 5 * time.Second  // for the first frame of a connection that was accepted
	readBufferSize        = 4 << 10
)

var (
	errConnectionClosed = errors.New("connection closed")
	errQueueFull        = errors.New("too many bytes queued for the peer")
)

// connection carries frames to and from one peer over one TCP connection. It exists as soon as it is needed: frames are
// queued while it is being dialled.
type connection struct {
	transport  *Transport
	to         netip.AddrPort // listening address of the peer
	accepted   bool           // dialled by the peer
	queueReady chan struct{}  // wakes the writer; closed with the connection
	peerUp     chan struct{}  // signalled when the peer is heard while it is being dialled
	handlers   atomic.Int32   // running requests of the peer

	mutex       sync.Mutex
	socket      net.Conn // nil while being dialled
	generation  uint64   // of the peer, 0 until its hello
	queue       []queuedFrame
	queuedBytes int
	pending     map[uint64]*pendingCall // by call number
	closed      bool
	active      bool // since the last idle check
	retired     bool // nothing new starts on it
	idleChecks  int  // that found it idle, in a row
}

// newConnection returns a connection whose queue starts with the hello frame.
func newConnection(t *Transport, to netip.AddrPort) *connection {
	c := &connection{
		transport:  t,
		to:         to,
		queueReady: make(chan struct{}, 1),
		peerUp:     make(chan struct{}, 1),
		pending:    make(map[uint64]*pendingCall),
	}
	hello := &frame{frameType: helloFrame, address: t.address, generation: t.generation}
	if data, err := hello.encode(); err == nil {
		c.queue = append(c.queue, queuedFrame{data: data})
	}
	return c
}

// isBeingDialled reports whether there is no socket yet.
func (c *connection) isBeingDialled() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.socket == nil && !c.closed
}

// open sets the socket. It reports whether the connection is still wanted.
func (c *connection) open(socket net.Conn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return false
	}
	c.socket = socket
	return true
}

// close closes the connection and fails its pending calls.
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
		call.result <- callResult{err: callError(call.sent, c.to, cause)}
	}
}
