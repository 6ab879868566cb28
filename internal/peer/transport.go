package peer

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	defaultCallTimeout = 10 * time.Second // of a call without a deadline
	maxSendAttempts    = 4                // closed connections after which a message fails
	maxBindAttempts    = 8                // ports tried if the address has port 0
)

// Message is a message from one process to another. The body is a Cap'n Proto message of the package that owns the
// kind.
type Message struct {
	Kind Kind
	Body []byte
}

// Handler responds to a request. It runs in its own goroutine. ctx ends at the caller's deadline and with
// Transport.Close.
type Handler func(ctx context.Context, from netip.AddrPort, m Message) (Message, error)

// Transport is the endpoint through which this process sends and receives messages. Handlers must be set before Start.
type Transport struct {
	address    netip.AddrPort
	generation uint64
	log        *zap.Logger
	listener   *net.TCPListener
	packetConn *net.UDPConn
	dialer     *net.Dialer
	// dialAttemptTimeouts are the timeouts of the attempts to open one connection.
	dialAttemptTimeouts []time.Duration

	handlers         map[Kind]Handler
	oneWayHandlers   map[Kind]func(from netip.AddrPort, m Message)
	datagramHandlers map[Kind]func(from netip.AddrPort, m Message)
	sameZone         func(netip.AddrPort) bool // see SetSameZone; nil: all peers are in the same zone
	sent             [packageCount]trafficCounter

	context    context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	lastCallID atomic.Uint64

	mutex            sync.Mutex
	closed           bool
	connectionByPeer map[netip.AddrPort]*connection // used for new messages; by listening address
	openConnections  map[*connection]struct{}       // includes retired ones
}

// Address returns the listening address of this process. Peers see it as the sender of all messages of this transport.
func (t *Transport) Address() netip.AddrPort { return t.address }

// Handle sets the handler of the requests of a kind.
func (t *Transport) Handle(kind Kind, h Handler) { t.handlers[kind] = h }

// HandleOneWay sets the handler of the one-way messages of a kind. It is called in the order in which the messages
// arrive on a connection, and must not block.
func (t *Transport) HandleOneWay(kind Kind, h func(from netip.AddrPort, m Message)) {
	t.oneWayHandlers[kind] = h
}

// HandleDatagram sets the handler of the datagrams of a kind. The handler must not block.
func (t *Transport) HandleDatagram(kind Kind, h func(from netip.AddrPort, m Message)) {
	t.datagramHandlers[kind] = h
}

// Start starts receiving messages.
func (t *Transport) Start() {
	t.goroutines.Go(t.accept)
	t.goroutines.Go(t.receiveDatagrams)
	t.goroutines.Go(t.checkIdle)
}

// Close closes all connections and waits until receiving has stopped, but not for handlers of requests. It must not be
// called by a handler.
func (t *Transport) Close() {
	t.mutex.Lock()
	t.closed = true
	all := make([]*connection, 0, len(t.openConnections))
	for c := range t.openConnections {
		all = append(all, c)
	}
	t.mutex.Unlock()
	t.cancel()
	_ = t.listener.Close()
	_ = t.packetConn.Close()
	for _, c := range all {
		c.close(errConnectionClosed)
	}
	t.goroutines.Wait()
}

// Disconnect closes the connection to a peer whose process is known to have ended, so that calls to it fail at once.
func (t *Transport) Disconnect(to netip.AddrPort) {
	t.mutex.Lock()
	c := t.connectionByPeer[to]
	t.mutex.Unlock()
	if c != nil {
		c.close(errConnectionClosed)
	}
}

// connection returns the connection to use for a peer. If there is none, it starts dialling one and returns it
// without waiting. After Close it returns a closed connection.
func (t *Transport) connection(to netip.AddrPort) *connection {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if c := t.connectionByPeer[to]; c != nil {
		return c
	}
	c := newConnection(t, to)
	if t.closed {
		c.closed = true
		return c
	}
	t.connectionByPeer[to] = c
	t.openConnections[c] = struct{}{}
	t.goroutines.Go(func() { t.dial(c) })
	return c
}

// stopUsing makes the next message to the peer use another connection. It does not close this one.
func (t *Transport) stopUsing(c *connection) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.connectionByPeer[c.peerAddress] == c {
		delete(t.connectionByPeer, c.peerAddress)
	}
}

// signalPeerUp restarts the dial to a peer that has just sent a hello or a datagram. It does nothing if the peer is not
// being dialled.
func (t *Transport) signalPeerUp(from netip.AddrPort) {
	t.mutex.Lock()
	c := t.connectionByPeer[from]
	t.mutex.Unlock()
	if c == nil || !c.isBeingDialled() {
		return
	}
	select {
	case c.peerUp <- struct{}{}:
	default:
	}
}

// dial opens a connection and then reads its frames.
func (t *Transport) dial(c *connection) {
	socket, err := dialWithRetries(t.context, t.dialAttemptTimeouts, c.peerUp, func(ctx context.Context) (net.Conn, error) {
		return t.dialer.DialContext(ctx, "tcp4", c.peerAddress.String())
	})
	if err != nil {
		c.close(err)
		return
	}
	if !c.setSocket(socket) {
		_ = socket.Close()
		return
	}
	t.goroutines.Go(func() { c.write(socket) })
	c.read(bufio.NewReaderSize(socket, readBufferSize))
}

// remove removes a connection that is closed. The next message to the peer dials again.
func (t *Transport) remove(c *connection) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.openConnections, c)
	if t.connectionByPeer[c.peerAddress] == c {
		delete(t.connectionByPeer, c.peerAddress)
	}
}
