// Package view implements the membership views of a replication chain: the views themselves, the policy that derives the
// next view from the current one, and the consensus on each view.
//
// # Views
//
// A View is the ordered membership of a chain during one epoch. It names two groups of replicas. The members replicate the
// data: an unreachable member is dropped at once, so that the chain continues without it. The voters agree on the next view:
// a replica that was dropped as a member keeps its vote until a replica that has caught up replaces it, so that the consensus
// tolerates the loss of a disk at any time.
//
// # Consensus
//
// The view of each epoch is decided by single-decree Paxos (Lamport, Paxos Made Simple). The acceptors are the voters of the
// view of the preceding epoch; those of epoch 1 are the seeds of the first start. Acceptor and Proposer are state machines
// without input or output: the caller sends their messages and passes in the time. The caller (package chain) also saves
// the state of the acceptor to disk and passes decided views on to the replicas that need them (the learners of Paxos).
//
// # Guarantees
//
//   - At most one view is decided for an epoch, provided that callers save Acceptor.State durably before they send the answer
//     to a Prepare or Accept, and that an acceptor answers for an epoch only once it has the view of the epoch before.
//   - The head of a decided view is complete: it has everything that was committed in earlier epochs (Next, UpdateCandidates).
//   - From one view to the next, at most one replica becomes a voter (Next).
//   - A view names each address at most once.
//   - A ReplicaID identifies a disk, not a machine. A replica that lost its disk returns under another ReplicaID
//     (LoadIdentity), so that it never votes after it has forgotten its promises.
//
// # Files in reading order
//
//   - view.go: View, Member and the order of the chain.
//   - identity.go: the identity that a replica stores on its disk.
//   - policy.go: Policy, Candidate, and the view that should follow (Next, First).
//   - remaining.go: which members the next view keeps.
//   - learners.go: which replicas the next view appends.
//   - electorate.go: which replicas vote on the view after it.
//   - messages.go: the messages of Paxos and the order of proposal numbers.
//   - acceptor.go, proposer.go: the two roles of Paxos.
//   - codec.go, message_codec.go: the encoding of views and messages on the wire and on disk.
package view
