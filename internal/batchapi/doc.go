// Package batchapi is the proxy's side of batch jobs: it reads submissions and calls the stores that keep the tenant's partition.
//
// It keeps the promises of the protocol: an error of kind QuotaExceeded, Overloaded, NotReady or BadRequest from Submit
// means that no store has taken the job or will; as soon as one call may have arrived without an answer, any later refusal
// is told as Unclear. A job or an item is told to be unknown only when a replica that had passed a barrier says so.
package batchapi
