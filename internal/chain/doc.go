// Package chain replicates a state machine over an ordered group of replicas by chain replication (van Renesse and
// Schneider, OSDI 2004). The replicas agree on views, the memberships of the group, with single-decree Paxos, which
// package view implements.
//
// # Terms
//
// A chain is a group of replicas with one log. A view names its members in order, from the head to the tail, and the
// voters that agree on the next view; its number is the epoch. A learner is a replica that no view names and that
// receives the log from a member, its source. A sequence numbers an entry of the log; a position is a sequence with the
// epoch in which its entry was appended. A session is one connection from a replica to its successor or to a learner. A
// replica is complete if it has every entry that was ever committed. A barrier proves that the head is still the head; a
// round is a number that travels to the tail and back, and answers all barriers that the head has collected for it.
//
// # Protocol
//
// The head appends commands to its log. Each member streams its log to its successor, and acknowledges to its
// predecessor what it and all members after it have on disk. What is acknowledged to the head is committed, and the
// commit travels down the chain. A session begins with an outline of the receiver's log: the sender finds the last
// position that both logs share, the receiver truncates its log after that position, and the sender streams the entries
// that follow once they are on its own disk. A receiver that lacks more than the sender keeps in memory gets a snapshot
// first.
//
// Members of the first view are complete. A member that joined later becomes complete once it has synced what its
// predecessor, itself complete, had when their session began. As an entry is committed only once all members have it on
// disk, a complete member stays complete as long as every view names it. Only complete replicas stream to others, and
// only a complete head takes proposals.
//
// # Guarantees
//
//   - A command whose result Node.Propose returned is on the disks of all members of the view, at least
//     Options.MinimumReplicas, and no later view loses it.
//   - After an error of kind fault.NotReady the command was not appended and never will be. After fault.Unclear it may
//     still be committed.
//   - After Node.Barrier returned nil this replica has applied everything that was committed anywhere when the call
//     began.
//   - Entries are applied in the same order everywhere, at a replica only once they are on its own disk.
//   - None of this depends on clocks. Messages of another epoch are refused, and a view comes into force at a replica
//     only once it is on its disk: a replica that has left an epoch never acts in it again, even after a restart. Every
//     view keeps a member of the previous one. As a commit needs all members of its view, nothing can be committed in the
//     old epoch once that member has entered the new one.
//
// A disk that fails does not end a replica: the operations are tried again, and nothing counts as durable before they succeed. The replica
// is impaired meanwhile (Node.Impaired), and its neighbours and the placement go on without it where they can. A vote that cannot be
// written is not given.
//
// Within an epoch the log on a replica's disk always contains the log on its successor's disk. The guarantees rest on this
// and on the order of events: an acknowledgement is sent only after DiskDone has been called for what it covers.
//
// # Where it is implemented
//
// Replica.advanceHead commits a command once Replica.syncedToTail says that it is on the disks of all members. The
// applier then applies the command and passes the result to its caller.
//
// A message names the replica that it is for. A machine that has lost its disk runs another replica at the same address, which
// drops what is meant for the former one (Replica.isReceiver), as long as views still name the former one.
//
// A replaced head is fenced off by the epoch of its messages: members that have entered the new view drop them in
// Replica.receiveInEpoch, so that nothing the old head appends is acknowledged by all members of its view. A new view
// needs a majority of the voters of the one before (Reconfigurer.propose). A read at a replica is proven to be current
// by a barrier (Replica.Barrier) or by a majority of voters (Prover).
//
// # Files in reading order
//
//   - The protocol as a state machine: replica.go, limits.go, message.go, output.go, receive.go, install_view.go,
//     completeness.go, durable_log.go, commit.go, history.go, outline.go.
//   - The roles of a replica in it: head.go, head_term.go, head_proposals.go, head_barriers.go; link.go and the files
//     downstream_*.go (sending); the files upstream_*.go and acknowledge.go (receiving).
//   - The driver: options.go, node.go, node_views.go, status.go, notifications.go, session_status.go, record_file.go, disk_writer.go,
//     disk_batch.go, disk_health.go, state_machine.go, applier.go, dispatcher.go.
//   - Calls at a node: propose.go, forward.go, barrier.go, barrier_rounds.go, wait.go, retry.go.
//   - The agreement on views: reconfigurer.go, candidates.go, plan.go, proposer_options.go, propose_view.go, voter.go,
//     agreement_calls.go, discovery.go, neighbour_probes.go, learner.go, handover.go, confirm_majority.go, prover.go.
//   - The encodings on the wire and on disk: message_kinds.go, envelope_encode.go, envelope_decode.go, call_messages.go,
//     agreement_message.go, record_codec.go, and the schema in chainwire/chain.capnp.
package chain
