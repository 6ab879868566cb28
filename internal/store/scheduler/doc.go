// Package scheduler decides which batch item of a store runs next, and when.
//
// A Schedule holds the unfinished items of one partition. It is a state machine: it does no I/O, starts no goroutines, reads no
// clock and takes no locks. The runner of the partition guards it with a mutex, passes it the time, and sends the items that Next
// returns.
//
// Which item is next:
//   - jobs that are not past their completion target go before those that are (late jobs);
//   - tenants are served round-robin;
//   - a tenant's jobs go in the order in which they were submitted, but a job whose first waiting item has been started goes
//     first, because it has the least left to do;
//   - items of a job go in the order of the submission, started ones first. An item that is given back goes before the others.
//
// When it runs:
//   - a route whose item was refused by admission, or that cannot be served now, is paused (PauseRoute);
//   - an item whose attempt has failed is delayed, with a backoff that grows while attempts make no progress (Item.Backoff,
//     DelayItem);
//   - the whole schedule is suspended while the store cannot confirm that it may run items (Suspend).
//
// Shared by the partitions of a store:
//   - Slots bounds the number of items that run concurrently;
//   - RetryQueue orders the partitions whose items were refused: capacity that becomes free at the backends of a route is offered
//     first to the partition with the most urgent waiting job;
//   - Pacer gives the readers of all response streams a common tick.
//
// These three are safe for concurrent use by the runners. Their locks are taken while a runner's mutex is held, never the other
// way round; RetryQueue.Offer therefore calls Waiter.Retry without holding any lock.
//
// Files in reading order: schedule.go (the jobs of the partition, and Next), item.go, queue.go (order of items), urgency.go (rank
// of jobs), pauses.go (when routes and items may be tried again), retry.go (backoff and attempt limit of an item), slots.go,
// retry_queue.go, pacer.go.
package scheduler
