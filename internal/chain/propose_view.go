package chain

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/peer"
	"nickelline/internal/view"
)

// agreementResult is the outcome of one call of a proposer.
type agreementResult struct {
	from     netip.AddrPort
	response agreementResponse
	err      error
}

// propose makes one attempt, and gives it up once fewer acceptors than needed can answer. It reports whether a view was
// decided.
func (r *Reconfigurer) propose(ctx context.Context, options view.ProposerOptions, needed int) bool {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	proposer := view.NewProposer(options)
	results := make(chan agreementResult, 2*len(proposer.Recipients()))
	prepare := proposer.Prepare()
	r.callAll(ctx, proposer.Recipients(), agreementRequest{prepare: &prepare}, results)
	timer := time.NewTimer(attemptTimeout)
	defer timer.Stop()
	failed := make(map[netip.AddrPort]bool)
	for {
		select {
		case <-ctx.Done():
			return false
		case result := <-results:
			r.handleResult(proposer, result)
			if result.err != nil && slices.Contains(options.Acceptors, result.from) {
				failed[result.from] = true
			}
			if result.response.view.Epoch >= options.Epoch || len(options.Acceptors)-len(failed) < needed {
				return false
			}
		case <-timer.C:
			proposer.Tick(r.now())
		}
		if v, ok := proposer.Decided(); ok {
			r.broadcastView(v)
			return true
		}
		if refused, over := proposer.Abandoned(); over {
			r.highestRound = refused.Round
			return false
		}
		if accept, ok := proposer.TakeAccept(); ok {
			r.callAll(ctx, options.Acceptors, agreementRequest{accept: &accept}, results)
		}
		if deadline, ok := proposer.Deadline(); ok {
			timer.Reset(max(0, deadline-r.now()))
		}
	}
}

// callAll sends a request to acceptors and non-voters. The own replica answers first: what it answers is on disk before
// others are asked, so that this replica uses no proposal number twice.
func (r *Reconfigurer) callAll(ctx context.Context, asked []netip.AddrPort, q agreementRequest, results chan<- agreementResult) {
	q.sender = r.self()
	if slices.Contains(asked, r.self().Address) {
		response, err := r.handle(q)
		results <- agreementResult{from: r.self().Address, response: response, err: err}
		if err != nil {
			return
		}
	}
	for _, to := range asked {
		if to == r.self().Address {
			continue
		}
		go func() {
			response, err := r.call(ctx, to, q)
			results <- agreementResult{from: to, response: response, err: err}
		}()
	}
}

// handleResult passes the answer of an acceptor to the proposer.
func (r *Reconfigurer) handleResult(proposer *view.Proposer, result agreementResult) {
	switch {
	case result.err != nil:
		r.node.options.Log.Debug("agreement call failed", zap.Stringer("peer", result.from), zap.Error(result.err))
	case result.response.promise != nil:
		proposer.HandlePromise(r.now(), result.from, *result.response.promise)
	case result.response.accepted != nil:
		proposer.HandleAccepted(result.from, *result.response.accepted)
	}
}

// broadcastView sends a view that was decided to all replicas that it concerns. One that misses it gets it from any
// other.
func (r *Reconfigurer) broadcastView(v view.View) {
	r.highestRound = 0
	r.changeNeededSince = 0
	addresses := r.others()
	known := r.node.View()
	for _, member := range slices.Concat(known.Members, known.Voters, v.Members, v.Voters) {
		addresses = append(addresses, member.Address)
	}
	r.node.Install(v)
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	envelope := Envelope{Chain: v.Chain, Epoch: v.Epoch, Sender: r.self().Replica, Body: ViewNotice{View: v}}
	body, err := encodeEnvelope(envelope)
	if err != nil {
		r.node.options.Log.Error("encode view notice failed", zap.Error(err))
		return
	}
	for _, to := range slices.Compact(addresses) {
		if to != r.self().Address {
			r.node.transport.Send(to, peer.Message{Kind: kindEnvelope, Body: body})
		}
	}
}
