package chain

import (
	"context"
	"time"
)

const (
	retryPause         = 100 * time.Millisecond // before a call is tried again
	defaultCallTimeout = 5 * time.Second        // of a call without a deadline
)

// awaitRetry waits before a call is tried again: for retryPause, or until an epoch other than the given one is in force.
// It returns the error of ctx.
func (n *Node) awaitRetry(ctx context.Context, epoch uint64) error {
	bounded, cancel := context.WithTimeout(ctx, retryPause)
	defer cancel()
	_ = n.wait(bounded, func() bool { return n.replica.view.Epoch != epoch })
	return ctx.Err()
}

// withDefaultTimeout returns ctx with a deadline: its own, or after defaultCallTimeout.
func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultCallTimeout)
}
