// Package node is a real node round the decision module: it serves clients, talks to backends, discovery and peers, and
// leaves every decision to package decide.
//
// One goroutine, the loop, owns the decision module and all that belongs to open requests. Everything that happens is
// posted to it as a function; nothing in it waits for the network. Exchanges with backends, calls of discovery and
// datagrams run in goroutines that the loop starts and, at its end, waits for. The following always holds:
//
//   - each request that is taken gets one final answer, at the latest a little after its client's deadline;
//   - connections follow a list of backends before the module does, so that nothing goes where the list says no;
//   - a request is written to a backend only while its client waits and, if it carries a key, only while backends
//     remember the key of an earlier attempt;
//   - a connection that a request has come on is closed only behind an answer.
//
// Files in reading order:
//
//   - node.go, drain.go, config.go: the start, the end, the configuration
//   - loop.go, timers.go: the loop, its clock and its timers
//   - admission.go, clientconn.go, refusal.go: connections of clients, and which is closed to make room
//   - frontend.go, requestheader.go: a request from its header to its answer
//   - requests.go, attempts.go: open requests in the loop; attempts at backends
//   - transport.go, roundtrip.go, loadreport.go: exchanges with backends; load reports
//   - discovery.go, watch.go, list.go, numbers.go: the list of backends, and the numbers by which the module knows them
//   - peers.go: datagrams between nodes
//   - stats.go: the periodic line of counts
package node
