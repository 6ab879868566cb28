package chain

import (
	"context"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/view"
)

// Barrier returns nil once this replica has applied all that was committed anywhere when the call began. Callers that
// wait at the same time share one round of messages. The error is of kind fault.NotReady.
func (n *Node) Barrier(ctx context.Context) error {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	for {
		v := n.View()
		sequence, err := n.barrierOnce(ctx, v)
		if err == nil {
			return n.wait(ctx, func() bool { return n.applier.applied >= sequence })
		}
		if n.stopped() || n.awaitRetry(ctx, v.Epoch) != nil {
			return fault.Wrap(fault.NotReady, err)
		}
	}
}

// barrierOnce asks the head of a view for a barrier, and returns the sequence up to which the caller has to apply
// entries.
func (n *Node) barrierOnce(ctx context.Context, v view.View) (uint64, error) {
	head, ok := v.Head()
	switch {
	case !ok:
		return 0, fault.New(fault.NotReady, "chain %d has no view", n.options.Chain)
	case head.Replica == n.options.Self.Replica:
		return n.barrierLocally(ctx)
	}
	shared := n.joinSharedBarrier()
	select {
	case <-shared.done:
		return shared.sequence, shared.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// barrierLocally begins a barrier at this replica, as the head, and waits for its result.
func (n *Node) barrierLocally(ctx context.Context) (uint64, error) {
	id, resolved, err := n.beginBarrier()
	if err != nil {
		return 0, err
	}
	select {
	case result := <-resolved:
		if result.Failed {
			return 0, fault.New(fault.NotReady, "not the head of chain %d", n.options.Chain)
		}
		return result.Sequence, nil
	case <-ctx.Done():
		n.mutex.Lock()
		delete(n.barriers, id)
		n.mutex.Unlock()
		return 0, ctx.Err()
	}
}

// beginBarrier passes a barrier to the Replica and registers its caller.
func (n *Node) beginBarrier() (uint64, chan BarrierResult, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.failure != nil {
		return 0, nil, n.failure
	}
	n.lastID++
	id := n.lastID
	resolved := make(chan BarrierResult, 1)
	n.barriers[id] = resolved
	n.stepLocked(func(now time.Duration) { n.replica.Barrier(now, id) })
	return id, resolved, nil
}

// resolveBarrier passes the result of a barrier to its caller. The mutex is held.
func (n *Node) resolveBarrier(result BarrierResult) {
	if resolved := n.barriers[result.Barrier]; resolved != nil {
		delete(n.barriers, result.Barrier)
		resolved <- result
	}
}
