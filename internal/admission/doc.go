// Package admission selects, on each node, the backend of a service that gets a request, or refuses the request.
//
// It is overload control with hysteresis: each backend is normal, overloaded or blocking, by the number of its requests
// and three thresholds (L, H and R). A request goes to the better of two random normal backends. When there is none, a
// fraction of the requests is shed, batch work first; blocking backends get nothing.
//
// # Invariants
//
//   - A Pool reads no clock and does no I/O: the caller passes the time. It starts no goroutine. Its mutex guards all
//     state of the pool, of its backends and of its tickets.
//   - Each Ticket ends with one call of Done; until then its request counts as in flight at its backend.
//   - A request is refused, or sent to a backend that is not blocking; an ejected backend gets one trial request at a time.
//   - Pick does not allocate, but for the ticket and what the memory of prompt segments takes.
//
// A backend's load is what this node has there and what other nodes are estimated to have: by the last report of the
// backend itself, or by what the nodes share among themselves (sharedload.go). Thresholds follow from the backend's
// slots, and fall where answers take long in spite of free slots. Batch work has thresholds of its own, below those of
// live requests, since most nodes see only one of the two classes.
//
// # Files, in the order of a request
//
//   - request.go: what a caller passes and gets
//   - pool.go: the backends of a service, and Pick
//   - subset.go: which of many backends a node uses
//   - candidates.go: the backends that may get the request, by mode and zone
//   - backend.go, load.go, estimates.go: what is known of one backend, its load, and the means over all backends
//   - sharedload.go: the loads that nodes share, where backends do not report theirs
//   - thresholds.go: L, H and R of a backend
//   - health.go: ejection of backends that fail or do not respond
//   - shedding.go: the fraction of requests that is dropped
//   - selection.go, affinity.go: the choice between two, the own zone, and prompts that backends have read
//   - ticket.go: the request while it is at the backend
//   - stats.go: counters for metrics
package admission
