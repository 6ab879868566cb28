package peer

import (
	"bufio"
	"context"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"nickelline/internal/fault"
)

// read reads and handles frames until the connection fails, and closes it.
func (c *connection) read(r *bufio.Reader) {
	for {
		f, err := readFrame(r)
		if err != nil {
			c.close(err)
			return
		}
		c.markActive()
		if err := c.receive(f); err != nil {
			c.transport.log.Warn("handle frame failed", zap.Stringer("from", c.peerAddress), zap.Error(err))
			c.close(err)
			return
		}
	}
}

// receive dispatches a frame by its type.
func (c *connection) receive(f *frame) error {
	switch f.frameType {
	case helloFrame:
		return c.receiveHello(f)
	case requestFrame:
		c.receiveRequest(f)
	case responseFrame:
		c.complete(f.callID, callResult{message: Message{Kind: f.kind, Body: f.body}})
	case failureFrame:
		c.complete(f.callID, callResult{err: fault.New(f.errorKind, "%s", f.body)})
	case oneWayFrame:
		if handler := c.transport.oneWayHandlers[f.kind]; handler != nil {
			handler(c.peerAddress, Message{Kind: f.kind, Body: f.body})
		}
	case retireFrame:
		c.receiveRetire()
	default:
		return merry.Errorf("frame of type %d on a connection", f.frameType)
	}
	return nil
}

// receiveHello checks the address in the peer's hello and records its generation.
func (c *connection) receiveHello(f *frame) error {
	if f.address != c.peerAddress {
		return merry.Errorf("%v calls itself %v", c.peerAddress, f.address)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.generation = f.generation
	return nil
}

// receiveRequest starts the handler of a request. It refuses the request if there is no handler of its kind or
// maxConcurrentRequests of the connection are running.
func (c *connection) receiveRequest(f *frame) {
	handler := c.transport.handlers[f.kind]
	if handler == nil {
		c.respond(f.callID, Message{}, fault.New(fault.NotReady, "%v takes no messages of kind %#x", c.transport.address, f.kind))
		return
	}
	if c.runningRequests.Add(1) > maxConcurrentRequests {
		c.runningRequests.Add(-1)
		c.respond(f.callID, Message{}, fault.New(fault.NotReady, "%v works on too many requests", c.transport.address))
		return
	}
	go c.serve(handler, f)
}

// serve runs a handler and responds with its result.
func (c *connection) serve(handler Handler, f *frame) {
	defer c.runningRequests.Add(-1)
	ctx := c.transport.context
	if f.remaining > 0 {
		limited, cancel := context.WithTimeout(ctx, f.remaining)
		defer cancel()
		ctx = limited
	}
	message, err := handler(ctx, c.peerAddress, Message{Kind: f.kind, Body: f.body})
	c.respond(f.callID, message, err)
}

// respond queues the response to a request. If the response cannot be queued, the call of the peer ends at its
// deadline.
func (c *connection) respond(id uint64, message Message, err error) {
	f := &frame{frameType: responseFrame, kind: message.Kind, callID: id, body: message.Body}
	if err == nil && len(message.Body) > MaxBodyBytes {
		err = merry.Errorf("answer of %d bytes", len(message.Body))
	}
	if err != nil {
		f = &frame{frameType: failureFrame, callID: id, errorKind: fault.KindOf(err), body: []byte(err.Error())}
	}
	data, err := f.encode()
	if err == nil {
		err = c.enqueueResponse(queuedFrame{data: data})
	}
	if err != nil {
		c.transport.log.Debug("send response failed", zap.Stringer("to", c.peerAddress), zap.Error(err))
		return
	}
	c.transport.countSent(c.peerAddress, f.kind, len(data))
}
