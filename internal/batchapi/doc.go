// Package batchapi is the proxy's side of batch jobs: it reads submissions, and calls the stores that keep the partition of a
// tenant.
//
// # Invariants
//
//   - An error of kind QuotaExceeded, Overloaded, NotReady or BadRequest from Submit means that no store has taken the job or
//     will take it. As soon as one call may have arrived without an answer, any later refusal becomes Unclear.
//   - A job or an item is reported not to exist only if a replica says so that has passed a read barrier.
//
// # Files, in the order of a call
//
//   - client.go: the client, and its calls
//   - submission.go: the body of a submission
//   - write.go: calls to the head of a partition
//   - read.go: calls to any replica of a partition
//   - call.go: one call to one store
//   - headcache.go: heads and failures that calls have shown
package batchapi
