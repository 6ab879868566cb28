// Package placement decides which stores hold which partition of the batch jobs.
//
// Each tenant belongs to one of a fixed number of partitions. A partition is a chain of stores (package chain) whose views
// are part of the control state; this package derives the next views from what the stores report. It has no state and does
// no input or output: the head of the control chain calls Create once and then Next, and has the tables committed.
//
// # How a view changes
//
// A member that is unreachable, or about to shut down, is dropped as soon as a complete member and MinimumReplicas remain. A
// store that is to become a member is a learner of the partition first. Once it has reported that it caught up, it is
// appended to the view. Members beyond the replication factor, and those on stores that are being retired, are dropped once
// enough complete others are in the view.
//
// Beyond that the table is balanced, a few partitions at a time: replicas over zones first and stores second, then heads.
// Where the loss of a zone need not be tolerated, the replicas of a partition are in one zone instead.
//
// # Guarantees
//
//   - Each view has a complete head that was in the view before, so that nothing committed is lost.
//   - No view has fewer members than MinimumReplicas.
//   - Next changes a partition at most once: a table that is committed changes each view by one step.
//   - The same table, stores and policy give the same next table, in whatever order the stores are listed.
//   - The partition of a tenant never changes (PartitionOf), as the number of partitions does not.
//
// # Files in reading order
//
//   - table.go, store.go, policy.go, change.go: what goes in and out.
//   - create.go: the first table.
//   - plan.go, zone.go: the state of a computation: which stores are assigned to a partition, and the loads of stores.
//   - next.go: the steps of Next; repair.go, learners.go: what a partition needs by itself; balance_replicas.go and
//     balance_heads.go: what evens out the table.
//   - retire.go: which stores may be emptied, and which may be removed.
//   - codec.go: the form of a table on the wire and on disk.
package placement
