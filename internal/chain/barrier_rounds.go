package chain

import (
	"context"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/peer"
)

// barrierRoundTimeout bounds the request to the head in a barrier round, which several callers share.
const barrierRoundTimeout = 2 * time.Second

// remoteBarriers shares barrier rounds among the callers at a replica that is not the head.
type remoteBarriers struct {
	running bool
	next    *barrierRound // to be run once the running one is over; nil if nobody waits for it
}

// barrierRound is one barrier request to the head, with the callers that share its answer. It is not one of the
// numbered rounds of headBarriers, which travel along the chain.
type barrierRound struct {
	done     chan struct{}
	sequence uint64
	err      error
}

// joinRound returns a round that had not begun before the call, so that it covers all that was committed by then.
func (n *Node) joinRound() *barrierRound {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.barrierRounds.next == nil {
		n.barrierRounds.next = &barrierRound{done: make(chan struct{})}
	}
	round := n.barrierRounds.next
	if !n.barrierRounds.running {
		n.barrierRounds.running = true
		n.barrierRounds.next = nil
		go n.runRounds(round)
	}
	return round
}

// runRounds runs a round, and further ones as long as callers have joined meanwhile.
func (n *Node) runRounds(round *barrierRound) {
	for round != nil {
		round.sequence, round.err = n.barrierAtHead()
		close(round.done)
		round = n.nextRound()
	}
}

// nextRound returns the round to run after one is over, nil if nobody waits.
func (n *Node) nextRound() *barrierRound {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	round := n.barrierRounds.next
	n.barrierRounds.next = nil
	n.barrierRounds.running = round != nil
	return round
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
	ctx, cancel := context.WithTimeout(context.Background(), barrierRoundTimeout)
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
