// Package peer carries messages between the processes of the system: requests with answers and one-way messages over
// one TCP connection for each pair of processes, and datagrams over UDP. Frames are Cap'n Proto messages.
//
// A request that gets no answer ends with fault.NotReady if it was certainly not sent, and with fault.Unclear if it may
// have arrived. Errors of handlers keep their kind and text. A connection is made when it is first needed, from either
// side, and again on the next use after it failed. One-way messages and datagrams may be lost.
package peer

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"nickelline/internal/fault"
)

const (
	defaultCallTimeout = 10 * time.Second // of a call without a deadline
	attempts           = 4                // connections tried by one message when the first is found closed
	bindAttempts       = 8                // ports tried when any will do
)

// Message is what one process tells another. The body is a Cap'n Proto message of the package that owns the kind.
type Message struct {
	Kind Kind
	Body []byte
}

// Handler answers a request. It runs in a goroutine of its own; ctx ends with the caller's time.
type Handler func(ctx context.Context, from netip.AddrPort, m Message) (Message, error)

// Transport sends and receives messages. Handlers are set before Start.
type Transport struct {
	address  netip.AddrPort
	life     uint64
	log      *zap.Logger
	listener *net.TCPListener
	packets  *net.UDPConn
	dialer   *net.Dialer

	handlers  map[Kind]Handler
	oneWay    map[Kind]func(from netip.AddrPort, m Message)
	datagrams map[Kind]func(from netip.AddrPort, m Message)
	near      func(netip.AddrPort) bool // nil: all peers are
	sent      [blocks]trafficCounter

	context    context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	lastCall   atomic.Uint64

	mutex       sync.Mutex
	closed      bool
	connections map[netip.AddrPort]*connection // the one to be used for each peer
	all         map[*connection]struct{}
}

// Listen binds the address for TCP and UDP. Nothing is received before Start.
func Listen(address netip.AddrPort, log *zap.Logger) (*Transport, error) {
	listener, packets, err := bind(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		address:     listener.Addr().(*net.TCPAddr).AddrPort(),
		life:        rand.Uint64() | 1,
		log:         log,
		listener:    listener,
		packets:     packets,
		dialer:      newDialer(log),
		handlers:    make(map[Kind]Handler),
		oneWay:      make(map[Kind]func(netip.AddrPort, Message)),
		datagrams:   make(map[Kind]func(netip.AddrPort, Message)),
		context:     ctx,
		cancel:      cancel,
		connections: make(map[netip.AddrPort]*connection),
		all:         make(map[*connection]struct{}),
	}, nil
}

// bind opens both sockets on one port. If any port will do, the one that TCP got may be taken for UDP: others are tried.
func bind(address netip.AddrPort) (*net.TCPListener, *net.UDPConn, error) {
	var failure error
	for range bindAttempts {
		listener, err := newListenConfig().Listen(context.Background(), "tcp4", address.String())
		if err != nil {
			return nil, nil, merry.Wrap(err)
		}
		bound := listener.Addr().(*net.TCPAddr).AddrPort()
		packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(bound))
		if err == nil {
			return listener.(*net.TCPListener), packets, nil
		}
		_ = listener.Close()
		failure = err
		if address.Port() != 0 {
			break
		}
	}
	return nil, nil, merry.Wrap(failure)
}

// Address is the own listening address. Others see it as the origin of all messages of this transport.
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
	t.goroutines.Go(t.sweep)
}

// Close ends all connections and waits until nothing is received any more. It must not be called by a handler.
func (t *Transport) Close() {
	t.mutex.Lock()
	t.closed = true
	all := make([]*connection, 0, len(t.all))
	for c := range t.all {
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

// Call sends a request and waits for the answer.
func (t *Transport) Call(ctx context.Context, to netip.AddrPort, m Message) (Message, error) {
	if len(m.Body) > MaxBody {
		return Message{}, fault.New(fault.BodyTooLarge, "message of %d bytes", len(m.Body))
	}
	if _, limited := ctx.Deadline(); !limited {
		bounded, cancel := context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
		ctx = bounded
	}
	if err := ctx.Err(); err != nil {
		return Message{}, lostCall(false, to, err)
	}
	id := t.lastCall.Add(1)
	data, err := requestOf(ctx, id, m).encode()
	if err != nil {
		return Message{}, fault.Wrap(fault.NotReady, err)
	}
	call := &pendingCall{result: make(chan callResult, 1)}
	c, err := t.enqueue(to, outgoing{data: data, call: id}, call)
	if err != nil {
		return Message{}, lostCall(false, to, err)
	}
	t.count(to, m.Kind, len(data))
	return c.wait(ctx, id, call)
}

// enqueue adds a frame to the connection to a peer, and to another one if that has just been closed or retired. A
// retirement is no failure, so only closed connections count as attempts.
func (t *Transport) enqueue(to netip.AddrPort, frame outgoing, call *pendingCall) (*connection, error) {
	for closed := 0; closed < attempts; {
		c := t.connection(to)
		err := c.enqueue(frame, call)
		switch {
		case errors.Is(err, errConnectionClosed):
			closed++
		case !errors.Is(err, errRetired):
			return c, err
		}
		t.withdraw(c)
	}
	return nil, errConnectionClosed
}

func requestOf(ctx context.Context, id uint64, m Message) *frame {
	f := &frame{frameType: requestFrame, kind: m.Kind, call: id, body: m.Body}
	if deadline, limited := ctx.Deadline(); limited {
		f.remaining = max(time.Until(deadline), time.Microsecond)
	}
	return f
}

// Send queues a one-way message. Messages to a peer arrive in order or not at all.
func (t *Transport) Send(to netip.AddrPort, m Message) {
	if len(m.Body) > MaxBody {
		t.log.Error("message too long", zap.Int("bytes", len(m.Body)), zap.Uint16("kind", uint16(m.Kind)))
		return
	}
	f := &frame{frameType: oneWayFrame, kind: m.Kind, body: m.Body}
	data, err := f.encode()
	if err == nil {
		_, err = t.enqueue(to, outgoing{data: data}, nil)
	}
	if err != nil {
		t.log.Debug("message dropped", zap.Stringer("to", to), zap.Error(err))
		return
	}
	t.count(to, m.Kind, len(data))
}

// Disconnect closes the connection to a peer that is known to be gone, so that its calls fail now.
func (t *Transport) Disconnect(to netip.AddrPort) {
	t.mutex.Lock()
	c := t.connections[to]
	t.mutex.Unlock()
	if c != nil {
		c.close(errConnectionClosed)
	}
}

// connection gives the connection to a peer; one that does not exist yet is being dialled when this returns. After
// Close it is a closed one.
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
	t.all[c] = struct{}{}
	t.goroutines.Go(func() { t.dial(c) })
	return c
}

// withdraw makes the next use of the peer dial again. The connection itself goes on.
func (t *Transport) withdraw(c *connection) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.connections[c.to] == c {
		delete(t.connections, c.to)
	}
}

func (t *Transport) dial(c *connection) {
	socket, err := dialPatiently(t.context, dialAttempts, func(ctx context.Context) (net.Conn, error) {
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
	c.read(bufio.NewReaderSize(socket, readBuffer))
}

// forget makes the next use of the peer dial again.
func (t *Transport) forget(c *connection) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.all, c)
	if t.connections[c.to] == c {
		delete(t.connections, c.to)
	}
}
