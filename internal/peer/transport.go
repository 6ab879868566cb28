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
	maxSendAttempts    = 4                // connections tried by one message if they are found closed
	maxBindAttempts    = 8                // ports tried if any will do
)

// Message is what one process sends another. The body is a Cap'n Proto message of the package that owns the kind.
type Message struct {
	Kind Kind
	Body []byte
}

// Handler responds to a request. It runs in a goroutine of its own; ctx ends with the caller's deadline.
type Handler func(ctx context.Context, from netip.AddrPort, m Message) (Message, error)

// Transport is the endpoint of this process: it sends and receives messages. Handlers are set before Start.
type Transport struct {
	address    netip.AddrPort
	generation uint64
	log        *zap.Logger
	listener   *net.TCPListener
	packets    *net.UDPConn
	dialer     *net.Dialer
	// dialTimeouts are those of the attempts at one connection.
	dialTimeouts []time.Duration

	handlers  map[Kind]Handler
	oneWay    map[Kind]func(from netip.AddrPort, m Message)
	datagrams map[Kind]func(from netip.AddrPort, m Message)
	sameZone  func(netip.AddrPort) bool // reports whether a peer is in the same zone; nil: all are
	sent      [packageCount]trafficCounter

	context    context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	lastCall   atomic.Uint64

	mutex       sync.Mutex
	closed      bool
	connections map[netip.AddrPort]*connection // the one to use for each peer
	open        map[*connection]struct{}       // all that are not closed
}

// Address returns the listening address of this process. Peers see it as the origin of all messages of this transport.
func (t *Transport) Address() netip.AddrPort { return t.address }

// Handle sets the handler of the requests of a kind.
func (t *Transport) Handle(kind Kind, h Handler) { t.handlers[kind] = h }

// HandleOneWay sets the handler of the one-way messages of a kind. It is called in order of arrival on each connection
// and must not block.
func (t *Transport) HandleOneWay(kind Kind, h func(from netip.AddrPort, m Message)) {
	t.oneWay[kind] = h
}

// HandleDatagram sets the handler of the datagrams of a kind. It must not block.
func (t *Transport) HandleDatagram(kind Kind, h func(from netip.AddrPort, m Message)) {
	t.datagrams[kind] = h
}

// Start begins to receive.
func (t *Transport) Start() {
	t.goroutines.Go(t.accept)
	t.goroutines.Go(t.receiveDatagrams)
	t.goroutines.Go(t.checkIdle)
}

// Close closes all connections and waits until nothing is received any more. It must not be called by a handler.
func (t *Transport) Close() {
	t.mutex.Lock()
	t.closed = true
	all := make([]*connection, 0, len(t.open))
	for c := range t.open {
		all = append(all, c)
	}
	t.mutex.Unlock()
	t.cancel()
	_ = t.listener.Close()
	_ = t.packets.Close()
	for _, c := range all {
		c.close(errConnectionClosed)
	}
	t.goroutines.Wait()
}

// Disconnect closes the connection to a peer that is known to have ended, so that its calls fail now.
func (t *Transport) Disconnect(to netip.AddrPort) {
	t.mutex.Lock()
	c := t.connections[to]
	t.mutex.Unlock()
	if c != nil {
		c.close(errConnectionClosed)
	}
}

// connection returns the connection to a peer. A new one is still being dialled when this returns; after Close it is a
// closed one.
func (t *Transport) connection(to netip.AddrPort) *connection {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if c := t.connections[to]; c != nil {
		return c
	}
	c := newConnection(t, to)
	if t.closed {
		c.closed = true
		return c
	}
	t.connections[to] = c
	t.open[c] = struct{}{}
	t.goroutines.Go(func() { t.dial(c) })
	return c
}

// stopUsing has the next use of the peer dial again. The connection itself goes on.
func (t *Transport) stopUsing(c *connection) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.connections[c.to] == c {
		delete(t.connections, c.to)
	}
}

// notePeerUp has a connection that is being dialled to a peer tried again at once, as the peer has been heard.
func (t *Transport) notePeerUp(from netip.AddrPort) {
	t.mutex.Lock()
	c := t.connections[from]
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
	socket, err := dialWithRetries(t.context, t.dialTimeouts, c.peerUp, func(ctx context.Context) (net.Conn, error) {
		return t.dialer.DialContext(ctx, "tcp4", c.to.String())
	})
	if err != nil {
		c.close(err)
		return
	}
	if !c.open(socket) {
		_ = socket.Close()
		return
	}
	t.goroutines.Go(func() { c.write(socket) })
	c.read(bufio.NewReaderSize(socket, readBufferSize))
}

// remove removes a connection that is closed. The next use of the peer dials again.
func (t *Transport) remove(c *connection) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.open, c)
	if t.connections[c.to] == c {
		delete(t.connections, c.to)
	}
}
