package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"nickelline/internal/fault"
)

// Bounds of a connection.
const (
	maxQueuedBytes = 4 << 20          // a frame is queued only while fewer bytes wait
	maxHandlers    = 1024             // requests of one peer in work at the same time
	batchBytes     = 64 << 10         // small frames are joined up to this size for one write
	writeTimeout   = 10 * time.Second // for one write, to a peer that does not read
	helloTimeout   = 5 * time.Second  // for the first frame of a connection that was accepted
	readBuffer     = 4 << 10
)

var (
	errConnectionClosed = errors.New("connection closed")
	errQueueFull        = errors.New("too many bytes queued for the peer")
)

// batches holds buffers in which small frames are joined for one write.
var batches = sync.Pool{New: func() any { return new([batchBytes]byte) }}

// outgoing is an encoded frame that waits to be written.
type outgoing struct {
	data []byte
	call uint64 // of a request; 0: none
}

// pendingCall is a call without an answer yet.
type pendingCall struct {
	sent   bool // the writer has taken the frame: any part of it may have arrived
	result chan callResult
}

type callResult struct {
	message Message
	err     error
}

// connection carries frames to and from one peer over one TCP connection. It exists from the moment when it is first
// needed: frames are queued while it is being dialled.
type connection struct {
	transport *Transport
	to        netip.AddrPort // listening address of the peer
	accepted  bool           // dialled by the peer
	wake      chan struct{}
	handlers  atomic.Int32

	mutex       sync.Mutex
	socket      net.Conn // nil while being dialled
	life        uint64   // of the peer, 0 until its hello
	queue       []outgoing
	queuedBytes int
	pending     map[uint64]*pendingCall
	closed      bool
	used        bool // since the last sweep
	retired     bool // nothing new begins on it
	idleSweeps  int
}

func newConnection(t *Transport, to netip.AddrPort) *connection {
	c := &connection{
		transport: t,
		to:        to,
		wake:      make(chan struct{}, 1),
		pending:   make(map[uint64]*pendingCall),
	}
	hello := &frame{frameType: helloFrame, address: t.address, life: t.life}
	if data, err := hello.encode(); err == nil {
		c.queue = append(c.queue, outgoing{data: data})
	}
	return c
}

// wait waits for the answer to a request until ctx ends.
func (c *connection) wait(ctx context.Context, id uint64, call *pendingCall) (Message, error) {
	select {
	case result := <-call.result:
		return result.message, result.err
	case <-ctx.Done():
		return c.abandon(ctx, id, call)
	}
}

// abandon gives up a call, and tells whether its request may have been sent.
func (c *connection) abandon(ctx context.Context, id uint64, call *pendingCall) (Message, error) {
	c.mutex.Lock()
	_, waiting := c.pending[id]
	delete(c.pending, id)
	sent := call.sent
	c.mutex.Unlock()
	if !waiting {
		result := <-call.result
		return result.message, result.err
	}
	return Message{}, lostCall(sent, c.to, ctx.Err())
}

func lostCall(sent bool, to netip.AddrPort, cause error) error {
	if sent {
		return fault.New(fault.Unclear, "no answer from %v: %w", to, cause)
	}
	return fault.New(fault.NotReady, "not sent to %v: %w", to, cause)
}

// enqueue adds a request with the call that waits for its answer, or a one-way message.
func (c *connection) enqueue(frame outgoing, call *pendingCall) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return errConnectionClosed
	}
	if c.retired {
		return errRetired
	}
	if c.queuedBytes >= maxQueuedBytes {
		return errQueueFull
	}
	if err := c.add(frame); err != nil {
		return err
	}
	if call != nil {
		c.pending[frame.call] = call
	}
	return nil
}

// enqueueAnswer adds an answer. There is more room for answers than for what the peer has to work on.
func (c *connection) enqueueAnswer(frame outgoing) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.queuedBytes >= 2*maxQueuedBytes {
		return errQueueFull
	}
	return c.add(frame)
}

// add adds a frame to the queue and wakes the writer. The mutex is held.
func (c *connection) add(frame outgoing) error {
	if c.closed {
		return errConnectionClosed
	}
	c.queue = append(c.queue, frame)
	c.queuedBytes += len(frame.data)
	c.used = true
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// take empties the queue. From here on its requests may have been sent; those that were given up are left out.
func (c *connection) take() [][]byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	frames := make([][]byte, 0, len(c.queue))
	for _, frame := range c.queue {
		if frame.call != 0 {
			call := c.pending[frame.call]
			if call == nil {
				continue
			}
			call.sent = true
		}
		frames = append(frames, frame.data)
	}
	c.queue = nil
	c.queuedBytes = 0
	return frames
}

// open sets the socket, unless the connection was closed meanwhile.
func (c *connection) open(socket net.Conn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return false
	}
	c.socket = socket
	return true
}

// close ends the connection and fails the calls that wait for an answer.
func (c *connection) close(cause error) {
	c.transport.forget(c)
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
	close(c.wake)
	c.mutex.Unlock()
	if socket != nil {
		_ = socket.Close()
	}
	for _, call := range pending {
		call.result <- callResult{err: lostCall(call.sent, c.to, cause)}
	}
}

// write writes what is queued until the connection is closed.
func (c *connection) write(socket net.Conn) {
	for range c.wake {
		frames := c.take()
		if len(frames) == 0 {
			continue
		}
		if err := writeFrames(socket, frames); err != nil {
			c.close(err)
			return
		}
	}
}

// writeFrames joins small frames, so that a batch takes few system calls.
func writeFrames(socket net.Conn, frames [][]byte) error {
	if err := socket.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if len(frames) == 1 {
		_, err := socket.Write(frames[0])
		return err
	}
	buffer := batches.Get().(*[batchBytes]byte)
	defer batches.Put(buffer)
	joined := buffer[:0]
	for _, frame := range frames {
		if len(joined)+len(frame) > batchBytes {
			if _, err := socket.Write(joined); err != nil {
				return err
			}
			joined = buffer[:0]
		}
		if len(frame) > batchBytes {
			if _, err := socket.Write(frame); err != nil {
				return err
			}
			continue
		}
		joined = append(joined, frame...)
	}
	if len(joined) == 0 {
		return nil
	}
	_, err := socket.Write(joined)
	return err
}

// read takes frames until the connection fails.
func (c *connection) read(r *bufio.Reader) {
	for {
		f, err := readFrame(r)
		if err != nil {
			c.close(err)
			return
		}
		c.noteUse()
		if err := c.receive(f); err != nil {
			c.transport.log.Warn("bad frame", zap.Stringer("from", c.to), zap.Error(err))
			c.close(err)
			return
		}
	}
}

func (c *connection) receive(f *frame) error {
	switch f.frameType {
	case helloFrame:
		return c.receiveHello(f)
	case requestFrame:
		c.receiveRequest(f)
	case answerFrame:
		c.finish(f.call, callResult{message: Message{Kind: f.kind, Body: f.body}})
	case failureFrame:
		c.finish(f.call, callResult{err: fault.New(f.errorKind, "%s", f.body)})
	case oneWayFrame:
		if handler := c.transport.oneWay[f.kind]; handler != nil {
			handler(c.to, Message{Kind: f.kind, Body: f.body})
		}
	case retireFrame:
		c.receiveRetire()
	default:
		return merry.Errorf("frame of type %d on a connection", f.frameType)
	}
	return nil
}

func (c *connection) receiveHello(f *frame) error {
	if f.address != c.to {
		return merry.Errorf("%v calls itself %v", c.to, f.address)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.life = f.life
	return nil
}

// finish hands the result to the call that waits for it. One that was given up is gone.
func (c *connection) finish(id uint64, result callResult) {
	c.mutex.Lock()
	call := c.pending[id]
	delete(c.pending, id)
	c.mutex.Unlock()
	if call != nil {
		call.result <- result
	}
}

func (c *connection) receiveRequest(f *frame) {
	handler := c.transport.handlers[f.kind]
	if handler == nil {
		c.answer(f.call, Message{}, fault.New(fault.NotReady, "%v takes no messages of kind %#x", c.transport.address, f.kind))
		return
	}
	if c.handlers.Add(1) > maxHandlers {
		c.handlers.Add(-1)
		c.answer(f.call, Message{}, fault.New(fault.NotReady, "%v works on too many requests", c.transport.address))
		return
	}
	go c.serve(handler, f)
}

func (c *connection) serve(handler Handler, f *frame) {
	defer c.handlers.Add(-1)
	ctx := c.transport.context
	if f.remaining > 0 {
		limited, cancel := context.WithTimeout(ctx, f.remaining)
		defer cancel()
		ctx = limited
	}
	message, err := handler(ctx, c.to, Message{Kind: f.kind, Body: f.body})
	c.answer(f.call, message, err)
}

// answer queues the answer to a request. The caller of one that cannot be queued sees its time run out.
func (c *connection) answer(id uint64, message Message, err error) {
	f := &frame{frameType: answerFrame, kind: message.Kind, call: id, body: message.Body}
	if err == nil && len(message.Body) > MaxBody {
		err = merry.Errorf("answer of %d bytes", len(message.Body))
	}
	if err != nil {
		f = &frame{frameType: failureFrame, call: id, errorKind: fault.KindOf(err), body: []byte(err.Error())}
	}
	data, err := f.encode()
	if err == nil {
		err = c.enqueueAnswer(outgoing{data: data})
	}
	if err != nil {
		c.transport.log.Debug("answer dropped", zap.Stringer("to", c.to), zap.Error(err))
		return
	}
	c.transport.count(c.to, f.kind, len(data))
}
