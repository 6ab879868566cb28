package chain

import (
	"context"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/peer"
)

// sharedBarrierTimeout bounds one barrier request to the head, whose answer several callers share.
const sharedBarrierTimeout = 2 * time.Second

// remoteBarriers shares barrier requests among the callers at a replica that is not the head.
type remoteBarriers struct {
	running bool
	next    *sharedBarrier // to be requested once the running one is over; nil if nobody waits for it
}

// sharedBarrier is one barrier request to the head and its answer, which several callers share. The head answers it by
// one of the numbered rounds of headBarriers, which travel along the chain.
type sharedBarrier struct {
	done     chan struct{}
	sequence uint64
	err      error
}

// joinSharedBarrier returns a barrier that had not been requested before the call, so that it covers all that was
// committed by then.
func (n *Node) joinSharedBarrier() *sharedBarrier {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.sharedBarriers.next == nil {
		n.sharedBarriers.next = &sharedBarrier{done: make(chan struct{})}
	}
	shared := n.sharedBarriers.next
	if !n.sharedBarriers.running {
		n.sharedBarriers.running = true
		n.sharedBarriers.next = nil
		go n.runSharedBarriers(shared)
	}
	return shared
}

// runSharedBarriers requests a barrier, and further ones as long as callers have joined meanwhile.
func (n *Node) runSharedBarriers(shared *sharedBarrier) {
	for shared != nil {
		shared.sequence, shared.err = n.barrierAtHead()
		close(shared.done)
		shared = n.nextSharedBarrier()
	}
}

// nextSharedBarrier returns the barrier to request after one is over, nil if nobody waits.
func (n *Node) nextSharedBarrier() *sharedBarrier {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	shared := n.sharedBarriers.next
	n.sharedBarriers.next = nil
	n.sharedBarriers.running = shared != nil
	return shared
}

// barrierAtHead asks the head of the view in force for a barrier.
func (n *Node) barrierAtHead() (uint64, error) {
	head, ok := n.View().Head()
	if !ok {
		return 0, fault.New(fault.NotReady, "chain %d has no view", n.options.Chain)
	}
	body, err := barrierRequest{chain: n.options.Chain}.encode()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), sharedBarrierTimeout)
	defer cancel()
	answer, err := n.callHead(ctx, head, peer.Message{Kind: kindBarrier, Body: body})
	if err != nil {
		return 0, err
	}
	response, err := decodeBarrierResponse(answer.Body)
	if err != nil {
		return 0, err
	}
	n.step(func(time.Duration) { n.replica.requestNewerView(response.epoch, head.Address) })
	return response.sequence, nil
}
