// Package admission selects, on each node, the backend of a service that receives a request, or refuses the request.
//
// It implements overload control with hysteresis: each backend is normal, overloaded or blocking, depending on its load
// and three thresholds: low (L), high (H) and block (R). A request goes to the better of two random normal backends. If
// no backend is normal, a fraction of the requests is shed, batch work first, and the others go to overloaded backends.
// Blocking backends receive no requests.
//
// # Invariants
//
//   - A Pool reads no clock and does no I/O: the caller passes the time. It starts no goroutine. Its mutex guards all
//     state of the pool, of its backends and of its tickets.
//   - Each Ticket ends with one call of Done; until then its request counts as in flight at its backend.
//   - A request is either refused or sent to a backend that is not blocking. An ejected backend receives one trial
//     request at a time, unless no other backend is usable.
//   - Pick allocates only its result and entries of the set of prompt segments.
//
// The load of a backend is the requests of this node there, weighted by size, plus an estimate for the other nodes. The
// estimate comes from the last report of the backend itself, or from the loads that the nodes exchange (sharedload.go).
// The thresholds derive from the backend's slots, and are lower if its latency is high although it has free slots. Batch
// work has its own thresholds, below those of live requests, since most nodes see only one of the two classes.
//
// # Files, in the order of a request
//
//   - request.go: what a caller passes and gets
//   - pool.go: the backends of a service, and Pick
//   - subset.go: which of many backends a node uses
//   - candidates.go: the backends that may receive the request, by mode and zone
//   - backend.go, load.go, estimates.go: the state of one backend, its load, and the means over all backends
//   - sharedload.go: the loads that nodes exchange if backends do not report theirs
//   - thresholds.go: L, H and R of a backend
//   - health.go: ejection of backends that fail or do not respond
//   - shedding.go: the fraction of requests that is dropped
//   - selection.go, affinity.go, hash.go: the better of two candidates, the local zone, and affinity for prompt prefixes
//   - ticket.go: the request while it is at the backend
//   - stats.go: counters for metrics
package admission
