// Package upstream keeps the connections to backends.
//
// A Pool hands out each connection for one request and takes it back for the next one. It never writes to a connection or
// consumes anything from it: the caller defines what is sent and when a response is complete. The package does not use
// http.Transport, which sends some requests again on its own.
//
// # Invariants
//
//   - A connection that is handed out again is open and has nothing unread on it, so that the response to an earlier
//     request is not taken for the response to the next one.
//   - No connection is handed out to a backend that the list no longer marks as ready, or whose address another backend has
//     taken over.
//   - The number of connections, including those being dialed, stays within its limit.
//   - Each connection from Acquire is given back by exactly one call of Release.
//
// # Goroutines
//
// Each dial runs in a goroutine of the pool, which outlives a caller that stops waiting: the connection then becomes idle.
// The owner of the pool starts Run, which cancels all dials when its context ends. Wait returns once they have ended.
// Everything else runs in the goroutines of the callers, under the mutex of the pool.
//
// # Files
//
//   - options.go: limits of a pool, and errors
//   - pool.go: the pool, and the sweep of idle connections
//   - backends.go: the list of backends
//   - acquire.go: taking, dialing and giving back a connection
//   - conn.go, write.go, dial.go: one connection, writing without waiting, and how it is dialed
//   - response.go: the head of a response
//   - idlehistory.go: how long connections may be idle, learned from those that broke
package upstream
