// Package scheduler decides which batch item of a store runs next, and when.
//
// A Schedule holds the items of one partition that have not ended. It is a state machine: it does no I/O, starts no goroutines,
// reads no clock and takes no locks. The runner of the partition guards it by a mutex, passes it the time, and sends the items
// that Next returns.
//
// Which item is next:
//   - jobs whose results are not late yet go before those that are;
//   - tenants are served round-robin;
//   - a tenant's jobs go in the order in which they were submitted, but a job whose first waiting item has begun goes first: it has
//     the least left to do;
//   - items of a job go in the order of the submission, begun ones first. An item that is given back goes before the others.
//
// When it runs:
//   - a route whose item was refused by admission, or that cannot be served now, is paused (PauseRoute);
//   - an item whose attempt has failed is delayed, by a time that grows while attempts bring nothing (Item.Backoff, DelayItem);
//   - the whole schedule is suspended while the store cannot confirm that it may run items (Suspend).
//
// Among the partitions of a store:
//   - Slots bounds the items that run at one time;
//   - RetryQueue orders the partitions whose items were refused: capacity that becomes free at the backends of a route is offered
//     to the partition with the most urgent waiting job first;
//   - Pacer gives the readers of all response streams one common rhythm.
//
// These three are shared by the runners and safe for concurrent use. Their locks are taken while a runner's mutex is held, never
// the other way round; RetryQueue.Offer therefore calls Waiter.Retry without any lock.
//
// Files in reading order: schedule.go (what is kept of the partition's jobs, and Next), item.go, queue.go (order of items),
// urgency.go (ranks of jobs), pauses.go (when routes and items may be tried again), retry.go (backoff and attempt limit of an
// item), slots.go, retry_queue.go, pacer.go.
package scheduler
