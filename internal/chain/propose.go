package chain

import (
	"context"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/peer"
	"nickelline/internal/segment"
	"nickelline/internal/view"
)

// proposalCall is a caller that waits for the result of a proposal.
type proposalCall struct {
	id     uint64
	result chan proposalResult // buffers the one result
}

// proposalResult is the result of applying a command, or why there is none.
type proposalResult struct {
	result []byte
	err    error
}

func newProposalCall() *proposalCall {
	return &proposalCall{result: make(chan proposalResult, 1)}
}

// resolve gives the caller its result. Calls after the first one have no effect.
func (p *proposalCall) resolve(result proposalResult) {
	select {
	case p.result <- result:
	default:
	}
}

// Propose has a command committed and returns the result of applying it. It may be called at any replica, and waits for
// a head that takes the command until ctx ends. The error is of kind fault.NotReady if the command was certainly not
// appended and never will be, fault.Unclear if it may have been, and fault.BodyTooLarge if the command is larger than
// segment.MaximumEntrySize.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	for {
		v := n.View()
		result, err := n.proposeOnce(ctx, v, command)
		if err == nil || fault.KindOf(err) != fault.NotReady {
			return result, err
		}
		if n.stopped() || n.awaitRetry(ctx, v.Epoch) != nil {
			return nil, err
		}
	}
}

// proposeOnce proposes at the head of a view: here, or by a forwarded call.
func (n *Node) proposeOnce(ctx context.Context, v view.View, command []byte) ([]byte, error) {
	head, ok := v.Head()
	switch {
	case !ok:
		return nil, fault.New(fault.NotReady, "chain %d has no view", n.options.Chain)
	case head.Replica == n.options.Self.Replica:
		return n.proposeLocally(ctx, command)
	}
	body, err := proposeRequest{chain: n.options.Chain, command: command}.encode()
	if err != nil {
		return nil, fault.Wrap(fault.NotReady, err)
	}
	answer, err := n.callHead(ctx, head, peer.Message{Kind: kindPropose, Body: body})
	if err != nil {
		return nil, err
	}
	response, err := decodeProposeResponse(answer.Body)
	return response.result, fault.Wrap(fault.Unclear, err)
}

// ProposeInTerm has a command committed that depends on what this replica has done as head since a term began (see
// HeadTerm), and returns the result of applying it. The command is never forwarded to another head: once the term is
// over, the error is fault.NotReady, and the command was certainly not appended and never will be. Other errors are
// those of Propose.
func (n *Node) ProposeInTerm(ctx context.Context, term uint64, command []byte) ([]byte, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	call := newProposalCall()
	err := n.beginProposal(call, command, func(now time.Duration) { n.replica.ProposeInTerm(now, call.id, term, command) })
	if err != nil {
		return nil, err
	}
	return n.awaitProposal(ctx, call)
}

// proposeLocally proposes at this replica, as the head.
func (n *Node) proposeLocally(ctx context.Context, command []byte) ([]byte, error) {
	call := newProposalCall()
	err := n.beginProposal(call, command, func(now time.Duration) { n.replica.Propose(now, call.id, command) })
	if err != nil {
		return nil, err
	}
	return n.awaitProposal(ctx, call)
}

// awaitProposal waits for the result of a proposal until ctx ends.
func (n *Node) awaitProposal(ctx context.Context, call *proposalCall) ([]byte, error) {
	select {
	case resolved := <-call.result:
		return resolved.result, resolved.err
	case <-ctx.Done():
		return n.abandonProposal(ctx, call)
	}
}

// beginProposal registers the caller of a command and passes the command to the Replica by the given event.
func (n *Node) beginProposal(call *proposalCall, command []byte, event func(now time.Duration)) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.failure != nil {
		return fault.Wrap(fault.NotReady, n.failure)
	}
	if len(command) > segment.MaximumEntrySize {
		return fault.New(fault.BodyTooLarge, "command of %d bytes", len(command))
	}
	n.lastID++
	call.id = n.lastID
	n.proposals[call.id] = call
	n.stepLocked(event)
	return nil
}

// abandonProposal stops waiting for a proposal. The kind of its error says whether the command may have been appended.
func (n *Node) abandonProposal(ctx context.Context, call *proposalCall) ([]byte, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	select {
	case resolved := <-call.result:
		return resolved.result, resolved.err
	default:
	}
	_, waiting := n.proposals[call.id]
	delete(n.proposals, call.id)
	if waiting && n.replica.Cancel(call.id) {
		return nil, fault.New(fault.NotReady, "the chain is not connected: %w", ctx.Err())
	}
	return nil, fault.New(fault.Unclear, "not known to be committed: %w", ctx.Err())
}

// resolveProposals handles the proposals that an output accepts or rejects. The mutex is held.
func (n *Node) resolveProposals(out Output) {
	for _, a := range out.Accepted {
		if call := n.proposals[a.Proposal]; call != nil {
			n.accepted[a.Sequence] = call
			delete(n.proposals, a.Proposal)
		}
	}
	for _, r := range out.Rejected {
		n.reject(r)
	}
}

// reject ends the call of a proposal that will get no result. The mutex is held.
func (n *Node) reject(r Rejected) {
	if call := n.proposals[r.Proposal]; call != nil {
		delete(n.proposals, r.Proposal)
		call.resolve(proposalResult{err: fault.New(fault.NotReady, "not the head of a chain that takes commands")})
		return
	}
	for sequence, call := range n.accepted {
		if call.id == r.Proposal {
			delete(n.accepted, sequence)
			call.resolve(proposalResult{err: fault.New(fault.Unclear, "no longer the head")})
		}
	}
}

// takeAccepted returns, by sequence, the calls that wait for the results of entries.
func (n *Node) takeAccepted(entries []segment.Entry) map[uint64]*proposalCall {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if len(n.accepted) == 0 {
		return nil
	}
	calls := make(map[uint64]*proposalCall)
	for _, entry := range entries {
		if call := n.accepted[entry.Sequence]; call != nil {
			calls[entry.Sequence] = call
			delete(n.accepted, entry.Sequence)
		}
	}
	return calls
}

// failCalls ends all calls that wait with the failure of the node. The mutex is held.
func (n *Node) failCalls() {
	for _, call := range n.proposals {
		call.resolve(proposalResult{err: fault.Wrap(fault.NotReady, n.failure)})
	}
	for _, call := range n.accepted {
		call.resolve(proposalResult{err: fault.Wrap(fault.Unclear, n.failure)})
	}
	for id := range n.barriers {
		n.resolveBarrier(BarrierResult{Barrier: id, Failed: true})
	}
	for _, call := range n.forwarded {
		call.cancel()
	}
}

// stopped reports whether the node has failed or was closed.
func (n *Node) stopped() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.failure != nil
}
