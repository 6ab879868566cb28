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

// agreementResult is an answer to a proposer.
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
	events := make(chan agreementResult, 2*len(proposer.Recipients()))
	prepare := proposer.Prepare()
	r.callAll(ctx, proposer.Recipients(), agreementRequest{prepare: &prepare}, events)
	timer := time.NewTimer(attemptTimeout)
	defer timer.Stop()
	failed := make(map[netip.AddrPort]bool)
	for {
		select {
		case <-ctx.Done():
			return false
		case event := <-events:
			r.handleResult(proposer, event)
			if event.err != nil && slices.Contains(options.Acceptors, event.from) {
				failed[event.from] = true
			}
			if event.response.view.Epoch >= options.Epoch || len(options.Acceptors)-len(failed) < needed {
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
			r.callAll(ctx, options.Acceptors, agreementRequest{accept: &accept}, events)
		}
		if deadline, ok := proposer.Deadline(); ok {
			timer.Reset(max(0, deadline-r.now()))
		}
	}
}

// callAll puts a question to all acceptors and non-voters, to the own replica first: what it answers is on the disk before others are asked,
// so that no number of this replica is used twice.
func (r *Reconfigurer) callAll(ctx context.Context, asked []netip.AddrPort, q agreementRequest, events chan<- agreementResult) {
	q.sender = r.self()
	if slices.Contains(asked, r.self().Address) {
		response, err := r.handle(q)
		events <- agreementResult{from: r.self().Address, response: response, err: err}
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
			events <- agreementResult{from: to, response: response, err: err}
		}()
	}
}

func (r *Reconfigurer) handleResult(proposer *view.Proposer, event agreementResult) {
	switch {
	case event.err != nil:
		r.node.options.Log.Debug("agreement", zap.Stringer("from", event.from), zap.Error(event.err))
	case event.response.promise != nil:
		proposer.HandlePromise(r.now(), event.from, *event.response.promise)
	case event.response.accepted != nil:
		proposer.HandleAccepted(event.from, *event.response.accepted)
	}
}

// broadcastView tells a view that was decided to all whom it concerns. Who misses it learns it from any other.
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
		r.node.options.Log.Error("encode", zap.Error(err))
		return
	}
	for _, to := range slices.Compact(addresses) {
		if to != r.self().Address {
			r.node.transport.Send(to, peer.Message{Kind: kindEnvelope, Body: body})
		}
	}
}
