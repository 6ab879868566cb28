// Package control keeps the control state of the system, and is the role of the nodes that serve it.
//
// The control state is the operator's configuration, the placement of batch partitions on stores, the retirements of stores,
// and the set of proxies that may hold quota leases. It is replicated by the control chain (package chain): Machine is the
// state machine that applies the committed commands, in the same order at all replicas. Control is the role around it.
//
// # How a configuration change is acknowledged
//
// Any control node takes the operator's PUT or PATCH:
//
//  1. api.configure reads the request. A node without a replica redirects it (api.atReplica).
//  2. service.Configure acknowledges a copy of a change that was accepted before, and refuses what is invalid by itself
//     (validateRequest).
//  3. service.propose has a Command committed by chain.Node.Propose. It returns only once the command is on the disks of all
//     members of the chain's view and was applied.
//  4. Machine.configure, while the command is applied, decides: the change is accepted if it builds on the current version,
//     and breaks no rule. This is the one place where that is decided, and all replicas decide the same.
//  5. api.configure answers 200 if the Result is Accepted or Repeated, and with the error of Result.Err otherwise.
//
// publisher.publish then announces the new configuration to all processes. The acknowledgement does not wait for it.
//
// # Guarantees
//
//   - An acknowledged change is on the disks of all members of the view, at least one more than may be lost at the same time
//     (settings.FaultTolerance), and no later view loses it.
//   - A change is accepted at most once, however often it is sent: Machine remembers the digests of the latest ones. The
//     history is part of the snapshot.
//   - Changes of the configuration are a compare-and-swap on its version, those of the placement on its version and the
//     revision of the retirements, those of the leaseholders on their revision and the epoch of the allocator.
//   - 503 (fault.NotReady) means that a change was certainly not made. 504 (fault.Unclear) leaves that open; the same request
//     may be sent again.
//   - service.Read returns a state that was current at some moment after the call began: it waits for a Barrier.
//   - What publisher certifies as current at a time includes everything that was committed before that time.
//   - Only a node that considers itself the head proposes changes of the placement. What a former head proposes is refused
//     once the next one has made a change, as it builds on an earlier version.
//   - A replica whose files are damaged is discarded as a whole, its identity first, so that it never votes or counts as
//     complete without its memory.
//
// # The head of the control chain
//
// Like chain replication, this package calls the replica that writes go to the head (a leader elsewhere). Control.head is
// which node the latest view known here names; placementController relies on no more, as its commands are compare-and-swap.
// HeadStatus is a proof of it that expires, for those who act without a commit: the allocator of quotas.
//
// # Goroutines
//
// Control.Start starts one goroutine each for the operator's API, the reconfigurer of the chain, the proofs of publisher and
// of HeadStatus, the publication of commits, and the placement. Control.Stop ends them and waits for them. Machine.Apply is
// called by the goroutine of chain.Node.
//
// # Files in reading order
//
//   - state.go, command.go, result.go: the control state, the commands that change it, and their results.
//   - machine.go: the replicated state machine; apply_configure.go, apply_retirement.go, apply_placement.go and
//     apply_leaseholders.go: what each command does; digest.go: the memory of requested changes.
//   - command_codec.go, leaseholders_codec.go, result_codec.go, state_codec.go: their forms on the wire and on disk.
//   - service.go, validation.go, propose.go: the operator's calls, independently of HTTP; stores.go: which stores there are.
//   - api.go, handlers.go, responses.go: the operator's API over HTTP; status.go: the answer to a status call.
//   - publisher.go: dissemination of committed state, and proofs that it is current.
//   - headstatus.go: the proof that this node is the head; leaseholders.go: changes by the allocator of quotas.
//   - report.go, report_codec.go, report_store.go, report_handler.go: the reports of stores.
//   - placement_controller.go, placement_observation.go: the loop that keeps the placement in the wanted state.
//   - replica.go, discard.go: opening the replica of the chain, and discarding a damaged one.
//   - control.go, assembly.go: the role as a whole.
package control
