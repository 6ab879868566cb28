// Package chain replicates a state machine over an ordered group of replicas (chain replication).
//
// # Guarantees
//
// A command whose result Propose gave is on the disks of all members of the view, at least MinimumReplicas, and no later
// view loses it. After fault.NotReady the command was not appended and never will be; after fault.Unclear it may be
// committed yet. A Barrier that succeeded proves that this replica has applied all that was committed anywhere when the
// call began. No clock is trusted for any of this: what belongs to another epoch is refused, and every view keeps a
// replica that has to leave the old epoch, with that on its disk, before the new one begins.
//
// # Parts
//
// Replica is the protocol as a state machine (core.go; head.go, downstream.go and upstream.go for its roles), Node drives
// it with a transport, a log on disk and a clock. Views come from outside by Node.Install, or are agreed by the replicas
// themselves, which a Reconfigurer drives (package view has the agreement and the policy).
//
// A replica that no view names learns from a member: by a snapshot if the member no longer keeps what it lacks, then
// entry by entry. Once it has caught up a view may append it at the tail; it is complete, and so may become the head,
// once it has synced what its predecessor had when their first session in that view began.
package chain
