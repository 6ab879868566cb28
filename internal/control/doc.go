// Package control implements the control role: it keeps the replicated control state of the system and serves it to the
// operator and to all processes.
//
// The control state consists of the operator's configuration, the placement of batch partitions on stores, the retirements of
// stores, and the set of proxies that may hold quota leases. The control chain (package chain) replicates it: Machine is the
// state machine that applies the committed commands, in the same order at all replicas. Control runs everything around it.
//
// # How a configuration change is acknowledged
//
// The operator may send a PUT or PATCH to any control node:
//
//  1. api.configure reads the request. A node without a replica redirects it (api.requireReplica).
//  2. service.Configure acknowledges a duplicate of a change that was accepted before, and refuses a change that is invalid
//     whatever the current configuration is (validateRequest), and one whose result, as it is sent to all processes, could not
//     be read by them (validateRequest, validatePatch).
//  3. service.propose has a Command committed by chain.Node.Propose, which returns only once the command is on the disks of
//     all members of the chain's view and has been applied.
//  4. Machine.configure decides when the command is applied: it accepts the change if that builds on the current version and
//     breaks no rule. This is the only place that decides, and all replicas come to the same decision.
//  5. api.configure responds with 200 if the Result is Accepted or Repeated, and otherwise with the error of Result.Err.
//
// publisher.publish then announces the new configuration to all processes. The acknowledgement does not wait for that.
//
// # Guarantees
//
//   - An acknowledged change is on the disks of all members of the view. These are at least one more than the disks that may be
//     lost at the same time (settings.FaultTolerance). No later view loses the change.
//   - A change is accepted at most once, however often it is sent: Machine remembers the digests of the latest accepted
//     changes, and its snapshots contain them.
//   - A change of the configuration is a compare-and-swap on its version, a change of the placement on its version and the
//     revision of the retirements, and a change of the leaseholders on their revision and the epoch of the allocator.
//   - 503 (fault.NotReady) means that a change was certainly not made. 504 (fault.Unclear) means that it may have been made;
//     the same request may be sent again.
//   - service.Read returns a state that was current at some moment after the call began: it waits for a Barrier.
//   - The state that publisher certifies as current at a time includes everything that was committed before that time.
//   - Only a node that considers itself the head proposes changes of the placement. The proposals of a former head are refused
//     once its successor has made a change, as they build on an earlier version.
//   - A replica whose files are damaged is discarded as a whole, its identity first, so that it never votes without knowing its
//     earlier promises, and never counts as complete without its data.
//
// # The head of the control chain
//
// As usual in chain replication, the head is the replica to which writes are sent (a leader in other protocols). Control.head
// returns the head of the latest view that this node knows. That suffices for placementController, whose commands are
// compare-and-swap. The quota allocator acts without a commit, so it relies on HeadStatus: a proof that expires.
//
// # Goroutines
//
// Control.Start starts one goroutine each for the operator's API, the reconfigurer of the chain, the proofs of publisher, the
// proofs of HeadStatus, the publication of commits, and the placement. Control.Stop stops them and waits until they have
// ended. The goroutine of chain.Node calls Machine.Apply.
//
// # Files in reading order
//
//   - state.go, command.go, result.go: the control state, the commands that change it, and their results.
//   - machine.go: the replicated state machine; apply_configure.go, apply_retirement.go, apply_placement.go and
//     apply_leaseholders.go: what each command does; digest.go: the history that detects duplicate requests.
//   - command_codec.go, leaseholders_codec.go, result_codec.go, state_codec.go: the encodings on the wire and on disk.
//   - service.go, validation.go, propose.go: the operator's calls, independently of HTTP; stores.go: the list of stores.
//   - api.go, handlers.go, responses.go: the operator's API over HTTP; status.go: the response to a status call.
//   - publisher.go: dissemination of committed state, and proofs that it is current; proof_schedule.go: when proofs are due.
//   - headstatus.go: the proof that this node is the head; leaseholders.go: changes by the quota allocator.
//   - report.go, report_codec.go, report_store.go, report_handler.go: the reports of stores.
//   - placement_controller.go, placement_observation.go: the loop that reconciles the placement with the stores.
//   - replica.go, discard.go: opening the replica of the chain, and discarding a damaged one.
//   - control.go, assembly.go: the whole control role.
package control
