// Package batch is the replicated state of the batch jobs of one partition: a deterministic state machine to which a chain
// applies committed commands. It does no I/O, starts no goroutines and reads no clock.
//
// # Invariants
//
//   - A job is accepted once: submitting the same identifier of the same tenant again has the outcome Done and no effect.
//   - An item has at most one position in the results of its job, and a position never changes.
//   - The recorded number of an item's failures never falls.
//   - A listed result stays until the job is dropped, and only a closed job is dropped.
//   - When a job is accepted, the tokens of its tenant's waiting items on its route, its own included, are within the
//     MaxQueuedTokens of the submission.
//
// # Crash and recovery
//
// The state is in memory only. The chain keeps the committed commands and the snapshots on disk, and a replica that starts
// again restores the last snapshot and applies the commands after it. All replicas that applied the same commands have equal
// snapshots. An item that was running loses its text after the last checkpoint.
//
// # Duties of the caller
//
// A clock reading has to be taken by the head in the term in which its command is committed (see clock).
//
// The methods of Machine are not safe for concurrent use. Commands have to be applied in the order in which they were
// committed. Bodies and contents that a method returns are shared with the state and must not be changed.
//
// # Files in reading order
//
//   - batch.go: jobs, commands and outcomes
//   - machine.go, job.go, checkpoint.go: the state and the effect of each command
//   - clock.go: the time of the partition, by which jobs age
//   - read.go: what can be read from the state
//   - command_encoding.go, command_decoding.go, job_codec.go, outcome_codec.go: the encoding of commands
//   - snapshot.go, snapshot_encoding.go, snapshot_decoding.go: the encoding of the state
//   - size.go: bounds of the size of messages
//
// The subpackage batchcall defines the requests of proxies to stores, and deflated the format of compressed blocks.
package batch
