// Package store is the store role: it hosts partitions of the batch jobs, each replicated over a chain of stores, answers the calls
// of the proxies for them, and runs the items of the partitions that it is the head of.
//
// What is acknowledged when:
//   - A submission is accepted once the chain has committed it. If it is not known whether it is or will be committed the error is of
//     kind fault.Unclear; any other kind promises that it is not (partition.submit).
//   - A result is shown once it is committed, and stays at its position. A replica answers reads only with a young confirmation
//     that it has applied what was committed before; that a job does not exist is said only behind a new barrier (partition.results).
//   - An item may run more than once; it is listed once, whatever is appended how often (appender).
//
// What stops a former head from running items (fencing):
//   - Items are sent only with a confirmation of leadership that is younger than a third of the time within which an ended job must
//     stop, and with a configuration that is confirmed to be current (runner.dispatch). The confirmation is a commit or a barrier
//     of the chain, which succeeds in the newest view only, and counts from when it was requested (confirmation).
//   - Running items are cancelled when no confirmation has come for that whole time (runner.cancelAttempts).
//   - A runner ends with the view in which this store is the head. On this store the next runner of the partition starts only after the
//     one before has ended, with all of its appends (hostedPartition.viewChanged, appender.close). An append of a former head on
//     another store may still be committed; the state machine lists an item once, and adds a checkpoint only where the ones before
//     it end.
//   - A new head runs nothing before it has passed a barrier, so that it has applied all that former heads committed (runner.run).
//
// Which item runs next, and when, is decided by package scheduler; the runner is its driver. Package itemtext assembles the text of
// an item from the events of its response streams.
//
// Files in reading order:
//   - options.go, service.go: the role, its partitions, and their directories;
//   - placement.go, hosted_partition.go, learner.go, discard.go: the life of a replica, from the placement to the removal of its files;
//   - handlers.go, partition.go, writes.go, reads.go: the calls of the proxies;
//   - state.go, clock.go, confirmation.go: the state machine of a partition, the time that it is given, and the confirmation that it
//     is up to date;
//   - runner.go, runner_jobs.go, runner_config.go: the loop that runs the items of a partition;
//   - dispatch.go, admission_request.go, backends.go, retry_queue.go: sending an item;
//   - attempt.go, attempt_stream.go, attempt_result.go: one run of an item at one backend;
//   - appender.go: committing results and checkpoints;
//   - job_review.go, cancellation.go: what is done at intervals for jobs (urgency, retention, dropping) and for attempts;
//   - progress.go, stats.go: what is reported to the control nodes and as metrics.
package store
