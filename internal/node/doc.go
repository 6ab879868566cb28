// Package node implements the network side of a load-balancing node. It serves clients, exchanges messages with
// backends, discovery and peers, and leaves every decision to the decision module of package decide.
//
// One goroutine, the loop, owns the decision module and the state of all open requests. Every event is posted to the
// loop as a function, and the loop never waits for the network. Exchanges with backends and calls to discovery run in
// goroutines that the loop starts and waits for when it ends; datagrams have goroutines of their own. Invariants:
//
//   - each accepted request gets exactly one final response, at the latest shortly after its client's deadline;
//   - a list of backends is applied to the connections before the module sees it, so that no request goes to a backend
//     that the list excludes;
//   - a request is written to a backend only while its client waits and, if it carries an idempotency key, only while
//     backends still remember the key from an earlier attempt;
//   - a connection on which a request has arrived is closed only after a response.
//
// Files in reading order:
//
//   - node.go, drain.go, config.go: start, graceful shutdown, configuration
//   - loop.go, timers.go: the loop, its clock and its timers
//   - admission.go, clientconn.go, refusal.go: client connections, their limit and the eviction of idle ones
//   - frontend.go, requestheader.go: a request from its header to its response
//   - requests.go, attempts.go: open requests in the loop; attempts at backends
//   - transport.go, roundtrip.go, loadreport.go: exchanges with backends; load reports
//   - discovery.go, watch.go, list.go, numbers.go: the list of backends, and the IDs that the module uses for them
//   - peers.go: datagrams between nodes
//   - stats.go: the periodic log line of counters
package node
