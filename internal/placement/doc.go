// Package placement decides which stores hold which partition of the batch jobs.
//
// Each tenant belongs to one of a fixed number of partitions. A partition is a chain of stores (package chain) whose views
// are part of the control state; this package derives the next views from the reports of the stores. It keeps no state and
// does no I/O: the head of the control chain calls Create once and Next from then on, and commits the tables they return.
//
// # How a view changes
//
// A member that is unreachable, or about to shut down, is dropped as soon as MinimumReplicas complete members remain without
// it. A member whose disk was lost is dropped as soon as MinimumReplicas members remain, of which one is complete. A store
// that is to become a member is a learner of the partition first, and is appended to the view once it has reported that it
// caught up. Members beyond the replication factor, and members on stores that are being retired, are dropped once the view
// has enough other complete members.
//
// After these changes the table is balanced, a few partitions at a time: replicas over zones first and over stores second,
// then heads over stores. If the policy is Concentrated, the replicas of a partition are placed in one zone instead of being
// spread over zones.
//
// # Guarantees
//
//   - Each view has a complete head that was a member of the previous view, so that no committed entry is lost.
//   - No view has fewer members than MinimumReplicas.
//   - Next changes a partition at most once: each committed table changes each view by at most one step.
//   - The same table, stores and policy give the same next table, in whatever order the stores are listed.
//   - The partition of a tenant (PartitionOf) never changes, because the number of partitions is fixed.
//
// # Files in reading order
//
//   - table.go, store.go, policy.go, change.go: the inputs and results.
//   - create.go: the first table.
//   - plan.go, zone.go: the state of a computation: which stores are assigned to a partition, and the loads of stores.
//   - next.go: the steps of Next; repair.go, learners.go: the changes that a partition needs independently of the others;
//     balance_replicas.go and balance_heads.go: the changes that balance the table.
//   - retire.go: which stores may be retired, and which may be removed.
//   - codec.go: the encoding of a table on the wire and on disk.
package placement
