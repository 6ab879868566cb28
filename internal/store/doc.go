// Package store is the store role: it hosts partitions of the batch jobs, each replicated over a chain of stores, handles the calls
// of the proxies for them, and runs the items of the partitions of which it is the head.
//
// What is acknowledged when:
//   - A submission is accepted once the chain has committed it. If it is not known whether it is or will be committed, the error is of
//     kind fault.Unclear; any other kind promises that it is not and will not be (partition.submit).
//   - A result is shown once it is committed, and keeps its position. A replica serves reads only with a fresh confirmation that it
//     has applied everything committed before; it reports that a job does not exist only after a new barrier (partition.results).
//   - An item may run more than once, but it is listed once, however often its result is appended (appender).
//   - An item whose attempt has failed at a backend is sent again once the failure is committed, so that the next head counts on
//     (attempt.run).
//
// What stops a former head from running items (fencing):
//   - Items are sent only with a confirmation of leadership whose age is below a third of the cancellation bound, within which the
//     items of an ended job must stop, and with a configuration that is confirmed to be current (runner.dispatch). The confirmation
//     is a commit or a barrier of the chain, which succeeds in the newest view only. Its age counts from the request (confirmation).
//   - Running items are cancelled when the last confirmation is older than the whole cancellation bound (runner.cancelAttempts).
//   - A runner ends with the term in which this store is the head: a sequence of views that all name it as head. On this store the
//     next runner of the partition starts only after the previous one has ended, with all of its appends
//     (hostedPartition.viewChanged, appender.close). An append of a former head on another store may still be committed, but only if
//     it was in the log when the term of that head ended (partition.proposeInTerm). The state machine lists an item once, and adds a
//     checkpoint only at the start of the item's text or where one of its checkpoints ends.
//   - A new head runs no items before a barrier has succeeded, so that it has applied all that former heads committed (runner.run).
//
// Package scheduler decides which item runs next, and when; the runner drives it. Package itemtext assembles the text of an item from
// the events of its response streams.
//
// Files in reading order:
//   - options.go, service.go: the role, its partitions, and their directories;
//   - placement.go, hosted_partition.go, learner.go, discard.go: the life cycle of a replica, from placement to file removal;
//   - handlers.go, partition.go, writes.go, reads.go: the calls of the proxies;
//   - replication_monitor.go: replicas that keep their partition from being fully replicated;
//   - state.go, clock.go, confirmation.go: the state machine of a partition, the clock readings of its commands, and the confirmation
//     that it is up to date;
//   - runner.go, runner_jobs.go, runner_config.go: the loop that runs the items of a partition;
//   - dispatch.go, job_route.go, admission_request.go, backends.go, retry_queue.go, held_items.go: sending an item;
//   - attempt.go, attempt_stream.go, attempt_result.go: one execution of an item at one backend;
//   - appender.go: committing results, checkpoints and failures;
//   - job_review.go, cancellation.go: the periodic review of jobs (urgency, retention, dropping) and of attempts;
//   - progress.go, stats.go: reports to the control nodes, and metrics.
package store
