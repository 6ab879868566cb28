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

// agreementResult is the outcome of one call that a proposer made.
type agreementResult struct {
	from     netip.AddrPort
	response agreementResponse
	err      error
}

// viewAttempt is one attempt to have a view decided.
type viewAttempt struct {
	reconfigurer *Reconfigurer
	options      view.ProposerOptions
	needed       int // number of acceptors that have to answer
	proposer     *view.Proposer
	results      chan agreementResult
	failed       map[netip.AddrPort]bool // acceptors that cannot be reached
}

// attemptOutcome is how an attempt to have a view decided has ended.
type attemptOutcome uint8

const (
	attemptFailed attemptOutcome = iota // for want of answers, or there was no view to propose
	attemptBeaten                       // an acceptor has promised a higher number to another proposer
	attemptDecided
)

// propose makes one attempt to have a view decided, and gives up once fewer acceptors than needed can answer.
func (r *Reconfigurer) propose(ctx context.Context, options view.ProposerOptions, needed int) attemptOutcome {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	proposer := view.NewProposer(options)
	attempt := &viewAttempt{
		reconfigurer: r,
		options:      options,
		needed:       needed,
		proposer:     proposer,
		results:      make(chan agreementResult, 2*len(proposer.Recipients())),
		failed:       make(map[netip.AddrPort]bool),
	}
	return attempt.run(ctx)
}

// run sends both phases of the proposal.
func (a *viewAttempt) run(ctx context.Context) attemptOutcome {
	r := a.reconfigurer
	prepare := a.proposer.Prepare()
	r.callAll(ctx, a.proposer.Recipients(), agreementRequest{prepare: &prepare}, a.results)
	timer := time.NewTimer(attemptTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return attemptFailed
		case result := <-a.results:
			a.handle(result)
			if a.cannotSucceed(result) {
				return attemptFailed
			}
		case <-timer.C:
			a.proposer.Tick(r.now())
		}
		if outcome, over := a.advance(ctx); over {
			return outcome
		}
		if deadline, ok := a.proposer.Deadline(); ok {
			timer.Reset(max(0, deadline-r.now()))
		}
	}
}

// handle passes the answer of an acceptor to the proposer.
func (a *viewAttempt) handle(result agreementResult) {
	r := a.reconfigurer
	switch {
	case result.err != nil:
		r.node.options.Log.Debug("agreement call failed", zap.Stringer("peer", result.from), zap.Error(result.err))
		if slices.Contains(a.options.Acceptors, result.from) {
			a.failed[result.from] = true
		}
	case result.response.promise != nil:
		a.proposer.HandlePromise(r.now(), result.from, *result.response.promise)
	case result.response.accepted != nil:
		a.proposer.HandleAccepted(result.from, *result.response.accepted)
	}
}

// cannotSucceed reports whether the epoch has been decided already, or too few acceptors can be reached.
func (a *viewAttempt) cannotSucceed(result agreementResult) bool {
	return result.response.view.Epoch >= a.options.Epoch || len(a.options.Acceptors)-len(a.failed) < a.needed
}

// advance broadcasts a view that was decided, begins the second phase once the first is done, and reports whether the
// attempt is over.
func (a *viewAttempt) advance(ctx context.Context) (outcome attemptOutcome, over bool) {
	r := a.reconfigurer
	if v, ok := a.proposer.Decided(); ok {
		r.broadcastView(v)
		return attemptDecided, true
	}
	if refused, abandoned := a.proposer.Abandoned(); abandoned {
		r.highestRound = refused.Round
		if refused.Round > 0 {
			return attemptBeaten, true
		}
		return attemptFailed, true
	}
	if accept, ok := a.proposer.TakeAccept(); ok {
		r.callAll(ctx, a.options.Acceptors, agreementRequest{accept: &accept}, a.results)
	}
	return attemptFailed, false
}

// callAll sends a request to acceptors and non-voters. This replica answers first if it is one of them: its answer is on
// disk before others are asked, so that it uses no proposal number twice.
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

// broadcastView installs a decided view and sends it to the other reachable replicas and to the members and voters of
// the old and the new view. A replica that misses the view gets it later from any other replica.
func (r *Reconfigurer) broadcastView(v view.View) {
	r.highestRound = 0
	r.changeNeededSince = 0
	addresses := r.otherAddresses()
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
