package view

// AcceptorState is the durable state of an acceptor. A change must be on disk before the answer to the request that made it is
// sent.
type AcceptorState struct {
	// Epoch is the epoch whose view is being decided.
	Epoch uint64
	// Promised is the highest proposal number that the acceptor has promised in the epoch.
	Promised ProposalNumber
	// Accepted is the last proposal that the acceptor accepted in the epoch, nil if there is none.
	Accepted *Proposal
}

// Acceptor votes on the view of one epoch at a time.
type Acceptor struct{ state AcceptorState }

// NewAcceptor returns an acceptor that continues from a state read from disk.
func NewAcceptor(state AcceptorState) *Acceptor { return &Acceptor{state: state} }

// State returns the state that has to be on disk before the answer to the latest request is sent.
func (a *Acceptor) State() AcceptorState { return a.state }

// Prepare answers a request for the epoch that follows the newest view of this replica.
func (a *Acceptor) Prepare(request Prepare) Promise {
	answer := Promise{Epoch: request.Epoch, Number: request.Number}
	if !a.enterEpoch(request.Epoch) {
		return answer
	}
	answer.Votes = true
	if !request.Number.Less(a.state.Promised) {
		a.state.Promised = request.Number
		answer.Granted = true
		answer.Accepted = a.state.Accepted
	}
	answer.Promised = a.state.Promised
	return answer
}

// Accept answers a proposal for the epoch that follows the newest view of this replica.
func (a *Acceptor) Accept(request Accept) Accepted {
	answer := Accepted{Epoch: request.Epoch, Number: request.Number}
	if !a.enterEpoch(request.Epoch) {
		return answer
	}
	if !request.Number.Less(a.state.Promised) {
		a.state.Promised = request.Number
		a.state.Accepted = &Proposal{Number: request.Number, View: request.View.Clone()}
		answer.Granted = true
	}
	answer.Promised = a.state.Promised
	return answer
}

// enterEpoch switches to an epoch later than the current one, and reports whether the given epoch is the current one
// afterwards. Requests for earlier epochs get no vote: their views are decided, and the caller has them.
func (a *Acceptor) enterEpoch(epoch uint64) bool {
	if epoch > a.state.Epoch {
		a.state = AcceptorState{Epoch: epoch}
	}
	return epoch == a.state.Epoch
}
