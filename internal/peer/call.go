package peer

import (
	"context"
	"net/netip"

	"nickelline/internal/fault"
)

// pendingCall is a call that waits for its response.
type pendingCall struct {
	sent   bool // the writer has taken the frame, so all or part of it may have arrived
	result chan callResult
}

// callResult is the outcome of a call.
type callResult struct {
	message Message
	err     error
}

// await returns the result of a call, or that of abandon if ctx ends first.
func (c *connection) await(ctx context.Context, id uint64, call *pendingCall) (Message, error) {
	select {
	case result := <-call.result:
		return result.message, result.err
	case <-ctx.Done():
		return c.abandon(ctx, id, call)
	}
}

// abandon gives up a call whose ctx has ended. It returns the result if there is one already, and otherwise an error
// whose kind tells whether the request may have been sent.
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
	return Message{}, callError(sent, c.peerAddress, ctx.Err())
}

// callError returns the error of a call without a response: of kind fault.Unclear if the request may have been sent,
// and fault.NotReady otherwise.
func callError(sent bool, to netip.AddrPort, cause error) error {
	if sent {
		return fault.New(fault.Unclear, "no answer from %v: %w", to, cause)
	}
	return fault.New(fault.NotReady, "not sent to %v: %w", to, cause)
}

// complete passes the result to the pending call. It does nothing if the call was abandoned.
func (c *connection) complete(id uint64, result callResult) {
	c.mutex.Lock()
	call := c.pending[id]
	delete(c.pending, id)
	c.mutex.Unlock()
	if call != nil {
		call.result <- result
	}
}
