package peer

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/fault"
)

// Call sends a request and waits for the response until ctx ends, or for defaultCallTimeout if ctx has no deadline. If
// there is no response, the error is of kind fault.NotReady if the request was certainly not sent, and fault.Unclear if
// it may have arrived. A body of more than MaxBodyBytes fails with fault.BodyTooLarge.
func (t *Transport) Call(ctx context.Context, to netip.AddrPort, m Message) (Message, error) {
	if len(m.Body) > MaxBodyBytes {
		return Message{}, fault.New(fault.BodyTooLarge, "message of %d bytes", len(m.Body))
	}
	if _, limited := ctx.Deadline(); !limited {
		bounded, cancel := context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
		ctx = bounded
	}
	if err := ctx.Err(); err != nil {
		return Message{}, callError(false, to, err)
	}
	id := t.lastCallID.Add(1)
	data, err := newRequestFrame(ctx, id, m).encode()
	if err != nil {
		return Message{}, fault.Wrap(fault.NotReady, err)
	}
	call := &pendingCall{result: make(chan callResult, 1)}
	c, err := t.enqueue(to, queuedFrame{data: data, callID: id}, call)
	if err != nil {
		return Message{}, callError(false, to, err)
	}
	t.countSent(to, m.Kind, len(data))
	return c.await(ctx, id, call)
}

// enqueue queues a frame on the connection to a peer, and on a new connection if that one turns out to be closed or
// retired. Only closed connections count towards maxSendAttempts, because a retirement is not a failure.
func (t *Transport) enqueue(to netip.AddrPort, frame queuedFrame, call *pendingCall) (*connection, error) {
	for closed := 0; closed < maxSendAttempts; {
		c := t.connection(to)
		err := c.enqueue(frame, call)
		switch {
		case errors.Is(err, errConnectionClosed):
			closed++
		case !errors.Is(err, errRetired):
			return c, err
		}
		t.stopUsing(c)
	}
	return nil, errConnectionClosed
}

// newRequestFrame returns the frame of a request, with the remaining time until the deadline of ctx.
func newRequestFrame(ctx context.Context, id uint64, m Message) *frame {
	f := &frame{frameType: requestFrame, kind: m.Kind, callID: id, body: m.Body}
	if deadline, limited := ctx.Deadline(); limited {
		f.remaining = max(time.Until(deadline), time.Microsecond)
	}
	return f
}

// Send queues a one-way message. Messages to a peer arrive in order or not at all. A message that cannot be queued is
// logged and dropped.
func (t *Transport) Send(to netip.AddrPort, m Message) {
	if len(m.Body) > MaxBodyBytes {
		t.log.Error("send message failed: too long", zap.Stringer("to", to), zap.Int("bytes", len(m.Body)), zap.Uint16("kind", uint16(m.Kind)))
		return
	}
	f := &frame{frameType: oneWayFrame, kind: m.Kind, body: m.Body}
	data, err := f.encode()
	if err == nil {
		_, err = t.enqueue(to, queuedFrame{data: data}, nil)
	}
	if err != nil {
		t.log.Debug("send message failed", zap.Stringer("to", to), zap.Error(err))
		return
	}
	t.countSent(to, m.Kind, len(data))
}
