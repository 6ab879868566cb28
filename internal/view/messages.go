package view

// ProposalNumber orders the proposals for one epoch.
type ProposalNumber struct {
	Round   uint64
	Replica ReplicaID // of the proposer
}

// Less reports whether n is lower than other. Numbers are ordered by round, then by proposer.
func (n ProposalNumber) Less(other ProposalNumber) bool {
	if n.Round != other.Round {
		return n.Round < other.Round
	}
	return n.Replica < other.Replica
}

// Proposal is a view with the number under which it was proposed.
type Proposal struct {
	Number ProposalNumber
	View   View
}

// Prepare asks an acceptor to ignore proposals with lower numbers from now on (phase 1a of Paxos).
type Prepare struct {
	Epoch  uint64
	Number ProposalNumber
}

// Promise answers Prepare (phase 1b of Paxos).
type Promise struct {
	Epoch  uint64
	Number ProposalNumber // of the Prepare
	Sender Member
	// Votes is set if the sender is an acceptor for the epoch.
	Votes bool
	// Granted is set if the acceptor promises to ignore proposals with lower numbers.
	Granted bool
	// Promised is the highest proposal number that the acceptor has promised.
	Promised ProposalNumber
	// Accepted is the last proposal that the acceptor accepted, nil if there is none.
	Accepted *Proposal
	// Complete is set if the sender has everything that was committed before the epoch.
	Complete bool
	// Leaving is set if the sender is about to shut down.
	Leaving bool
}

// Accept asks an acceptor to accept a proposal (phase 2a of Paxos).
type Accept struct {
	Epoch  uint64
	Number ProposalNumber
	View   View
}

// Accepted answers Accept (phase 2b of Paxos).
type Accepted struct {
	Epoch  uint64
	Number ProposalNumber // of the Accept
	// Granted is set if the acceptor accepted the proposal.
	Granted bool
	// Promised is the highest proposal number that the acceptor has promised.
	Promised ProposalNumber
}
