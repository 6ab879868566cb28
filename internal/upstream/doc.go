// Package upstream keeps the connections to backends.
//
// A Pool hands out connections for one request each and takes them back for the next one. It never writes or reads
// anything itself: what goes over a connection, and when an answer is whole, is the caller's business. It does not use
// http.Transport, which sends some requests again by itself.
//
// # Invariants
//
//   - A connection that is handed out a second time is open and has nothing unread on it, so that the answer to an
//     earlier request is not taken for that of the next one.
//   - Nothing is handed out for a backend that the list no longer calls ready, or whose address another has taken over.
//   - The number of connections, those being dialed included, stays within its limit.
//   - Each connection from Acquire is given back by one call of Release.
//
// # Goroutines
//
// Each dial runs in a goroutine of the pool, which outlives a caller that stops waiting: the connection then becomes an
// idle one. Run, which the owner of the pool starts, ends them all when its context ends, and Wait returns once they have
// ended. Everything else runs in the goroutines of the callers, under the mutex of the pool.
//
// # Files
//
//   - options.go: limits of a pool, and errors
//   - pool.go: the pool, and the sweep of idle connections
//   - backends.go: the backends that connections lead to, as a list names them
//   - acquire.go: taking, dialing and giving back a connection
//   - conn.go, dial.go: one connection
//   - idlehistory.go: for how long connections may be idle, learned from those that broke
package upstream
