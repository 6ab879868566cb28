package chain

import (
	"context"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/peer"
	"nickelline/internal/view"
)

// remoteTimeout bounds a round of barriers that is asked for at the head, which several callers share.
const remoteTimeout = 2 * time.Second

// remoteBarriers shares rounds of barriers among the callers at a replica that is not the head.
type remoteBarriers struct {
	running bool
	next    *barrierRound // begins once the running one is over
}

// barrierRound is one question to the head.
type barrierRound struct {
	done     chan struct{}
	sequence uint64
	err      error
}

// Barrier returns once this replica has applied all that was committed anywhere when the call began. Callers that wait
// at the same time share one round of messages. The error is fault.NotReady.
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

func (n *Node) barrierOnce(ctx context.Context, v view.View) (uint64, error) {
	head, ok := v.Head()
	switch {
	case !ok:
		return 0, fault.New(fault.NotReady, "chain %d has no view", n.options.Chain)
	case head.Replica == n.options.Self.Replica:
		return n.barrierLocally(ctx)
	}
	round := n.joinRound()
	select {
	case <-round.done:
		return round.sequence, round.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// barrierLocally asks for a barrier at this replica, as the head.
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

// resolveBarrier answers a barrier. The node's mutex is held.
func (n *Node) resolveBarrier(result BarrierResult) {
	if resolved := n.barriers[result.Barrier]; resolved != nil {
		delete(n.barriers, result.Barrier)
		resolved <- result
	}
}

// joinRound gives a round that has not begun yet.
func (n *Node) joinRound() *barrierRound {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.remote.next == nil {
		n.remote.next = &barrierRound{done: make(chan struct{})}
	}
	round := n.remote.next
	if !n.remote.running {
		n.remote.running = true
		n.remote.next = nil
		go n.runRounds(round)
	}
	return round
}

// runRounds asks the head, and again as long as callers have come meanwhile.
func (n *Node) runRounds(round *barrierRound) {
	for round != nil {
		round.sequence, round.err = n.barrierAtHead()
		close(round.done)
		round = n.nextRound()
	}
}

func (n *Node) nextRound() *barrierRound {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	round := n.remote.next
	n.remote.next = nil
	n.remote.running = round != nil
	return round
}

func (n *Node) barrierAtHead() (uint64, error) {
	head, ok := n.View().Head()
	if !ok {
		return 0, fault.New(fault.NotReady, "chain %d has no view", n.options.Chain)
	}
	body, err := encodeBarrierRequest(n.options.Chain)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	answer, err := n.callHead(ctx, head, peer.Message{Kind: kindBarrier, Body: body})
	if err != nil {
		return 0, err
	}
	sequence, epoch, err := decodeBarrierResponse(answer.Body)
	if err != nil {
		return 0, err
	}
	n.step(func(time.Duration) { n.replica.requestNewerView(epoch, head.Address) })
	return sequence, nil
}
