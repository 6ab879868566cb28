package view

import (
	"net/netip"
	"slices"
	"time"
)

// defaultPromiseTimeout is how long a proposer with promises of a majority waits for answers of further replicas that may be
// reachable.
const defaultPromiseTimeout = 200 * time.Millisecond

// ProposerOptions configures a Proposer, which makes one attempt to have a view decided.
type ProposerOptions struct {
	Chain     uint32
	Epoch     uint64
	Number    ProposalNumber
	Acceptors []netip.AddrPort
	// NonVoters are other replicas that may be in the new view. They are also sent Prepare, to check that they are reachable.
	NonVoters []netip.AddrPort
	// Awaited are the acceptors and non-voters whose answers the proposer awaits even after a majority has promised.
	Awaited []netip.AddrPort
	// PromiseTimeout bounds the wait for the Awaited answers. The default is 200 ms.
	PromiseTimeout time.Duration
	// Choose derives the view from the answers, those of non-voters included, if no promise holds an accepted proposal. It
	// reports false if no view should be proposed.
	Choose func(answers []Promise) (View, bool)
}

type proposerPhase uint8

const (
	preparing proposerPhase = iota
	accepting
	decided
	abandoned
)

// Proposer makes one attempt to have a view decided. It is a state machine, not safe for concurrent use. The times passed
// to its methods must all come from the same monotonic clock.
type Proposer struct {
	options  ProposerOptions
	phase    proposerPhase
	promises map[netip.AddrPort]Promise
	// nonVoters holds the answers to Prepare of replicas without a vote.
	nonVoters map[netip.AddrPort]Promise
	// granted is the set of acceptors that accepted the proposal.
	granted map[netip.AddrPort]bool
	// conflicting is the number that the acceptor which refused this attempt has promised.
	conflicting ProposalNumber
	view        View
	// choiceDeadline is the time at which the view is chosen even if awaited answers are missing. It is 0 until a majority
	// has promised.
	choiceDeadline time.Duration
	// acceptDue is set from the choice of the view until TakeAccept.
	acceptDue bool
}

// NewProposer returns a proposer. The caller has to send its Prepare to all Recipients.
func NewProposer(options ProposerOptions) *Proposer {
	if options.PromiseTimeout == 0 {
		options.PromiseTimeout = defaultPromiseTimeout
	}
	return &Proposer{
		options:   options,
		promises:  make(map[netip.AddrPort]Promise),
		nonVoters: make(map[netip.AddrPort]Promise),
		granted:   make(map[netip.AddrPort]bool),
	}
}

// Prepare returns the request to be sent to all Recipients.
func (p *Proposer) Prepare() Prepare {
	return Prepare{Epoch: p.options.Epoch, Number: p.options.Number}
}

// Recipients returns the addresses that Prepare is sent to: acceptors first, then non-voters.
func (p *Proposer) Recipients() []netip.AddrPort {
	return slices.Concat(p.options.Acceptors, p.options.NonVoters)
}

// Acceptors returns the addresses that Accept is sent to.
func (p *Proposer) Acceptors() []netip.AddrPort { return p.options.Acceptors }

// HandlePromise processes an answer to Prepare.
func (p *Proposer) HandlePromise(now time.Duration, from netip.AddrPort, answer Promise) {
	if p.phase != preparing || !p.isCurrent(answer.Epoch, answer.Number) {
		return
	}
	switch {
	case !answer.Votes:
		p.nonVoters[from] = answer
	case !p.isAcceptor(from):
		return
	case !answer.Granted:
		p.abandon(answer.Promised)
		return
	default:
		p.promises[from] = answer
	}
	if p.choiceDeadline == 0 && len(p.promises) >= p.majority() {
		p.choiceDeadline = now + p.options.PromiseTimeout
	}
	p.Tick(now)
}

// Deadline returns the time at which Tick should be called, and whether there is one.
func (p *Proposer) Deadline() (time.Duration, bool) {
	return p.choiceDeadline, p.phase == preparing && p.choiceDeadline != 0
}

// Tick chooses the view once a majority has promised and no further answers are awaited.
func (p *Proposer) Tick(now time.Duration) {
	if p.phase != preparing || p.choiceDeadline == 0 {
		return
	}
	if now < p.choiceDeadline && !p.allAwaitedAnswered() {
		return
	}
	p.choose()
}

// TakeAccept returns the request to be sent to all Acceptors, and whether there is one. After the view is chosen, it returns
// the request exactly once.
func (p *Proposer) TakeAccept() (Accept, bool) {
	if !p.acceptDue {
		return Accept{}, false
	}
	p.acceptDue = false
	return Accept{Epoch: p.options.Epoch, Number: p.options.Number, View: p.view.Clone()}, true
}

// HandleAccepted processes an answer to Accept.
func (p *Proposer) HandleAccepted(from netip.AddrPort, answer Accepted) {
	if p.phase != accepting || !p.isCurrent(answer.Epoch, answer.Number) || !p.isAcceptor(from) {
		return
	}
	if !answer.Granted {
		p.abandon(answer.Promised)
		return
	}
	p.granted[from] = true
	if len(p.granted) >= p.majority() {
		p.phase = decided
	}
}

// Decided returns the proposed view, and whether a majority has accepted it.
func (p *Proposer) Decided() (View, bool) { return p.view, p.phase == decided }

// Abandoned reports whether this attempt has failed, and returns the number that the acceptor which refused it has promised,
// zero if there was no view to propose.
func (p *Proposer) Abandoned() (ProposalNumber, bool) { return p.conflicting, p.phase == abandoned }

// choose proposes the view of the accepted proposal with the highest number, because that view may already be decided. Only
// if no promise holds an accepted proposal does it propose a view from options.Choose.
func (p *Proposer) choose() {
	if accepted := p.highestAccepted(); accepted != nil {
		p.propose(accepted.View.Clone())
		return
	}
	own, ok := p.options.Choose(p.answers())
	if !ok {
		p.abandon(ProposalNumber{})
		return
	}
	p.propose(own)
}

func (p *Proposer) highestAccepted() *Proposal {
	var highest *Proposal
	for _, address := range p.options.Acceptors {
		accepted := p.promises[address].Accepted
		if accepted != nil && (highest == nil || highest.Number.Less(accepted.Number)) {
			highest = accepted
		}
	}
	return highest
}

// answers returns the promises of acceptors, followed by the answers of replicas without a vote.
func (p *Proposer) answers() []Promise {
	var answers []Promise
	for _, address := range p.options.Acceptors {
		if promise, answered := p.promises[address]; answered {
			answers = append(answers, promise)
		}
	}
	for _, address := range p.Recipients() {
		if answer, answered := p.nonVoters[address]; answered {
			answers = append(answers, answer)
		}
	}
	return answers
}

func (p *Proposer) propose(next View) {
	p.view = next
	p.phase = accepting
	p.acceptDue = true
}

func (p *Proposer) abandon(conflicting ProposalNumber) {
	p.phase = abandoned
	p.conflicting = conflicting
}

// isCurrent reports whether an answer belongs to this attempt.
func (p *Proposer) isCurrent(epoch uint64, number ProposalNumber) bool {
	return epoch == p.options.Epoch && number == p.options.Number
}

func (p *Proposer) allAwaitedAnswered() bool {
	return !slices.ContainsFunc(p.options.Awaited, func(address netip.AddrPort) bool {
		_, promised := p.promises[address]
		_, answered := p.nonVoters[address]
		return !promised && !answered
	})
}

func (p *Proposer) isAcceptor(address netip.AddrPort) bool {
	return slices.Contains(p.options.Acceptors, address)
}

func (p *Proposer) majority() int { return len(p.options.Acceptors)/2 + 1 }
