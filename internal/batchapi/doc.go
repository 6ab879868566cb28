// Package batchapi implements the proxy's part of batch jobs: it decodes submissions, and calls the stores that keep the
// partition of a tenant.
//
// # Invariants
//
//   - An error of kind QuotaExceeded, Overloaded, NotReady or BadRequest from Submit means that no store has accepted the
//     job or will accept it. Once a call that submits the job may have been executed without an answer, any later error is
//     Unclear.
//   - NotFound is returned only if a replica that has passed a read barrier reports that the job or item does not exist.
//
// # Files, in the order of a call
//
//   - client.go: the client, and its calls
//   - submission.go: the body of a submission
//   - write.go: calls to the head of a partition
//   - read.go: calls to any replica of a partition
//   - call.go: one call to one store
//   - headcache.go: heads and failures learned from earlier calls
package batchapi
