// Package load sums up, over all nodes, the requests in flight at each backend, for backends that do not report their own
// load.
//
// Each node reports its own requests to the collector of its zone and gets the totals back. The collectors of different
// zones exchange summaries of their zones. This is not a package of metrics: the totals are an input of admission, which
// limits the requests of all nodes at a backend.
//
// The collector of a zone is the first of its candidates: all nodes derive the same list from the membership table. A
// node that gets no responses goes on to the next candidate by itself, so that for a while a zone may have two
// collectors, each with the totals of its own reporters.
//
// # Guarantees
//
// Totals are approximate: messages are datagrams, which may be lost, and state is in memory only. When a collector is
// replaced, the next one has complete totals after one report of each node. Reports and summaries expire after a few
// intervals without renewal, so that a node without a collector is left with its own requests.
//
// The messages of a node grow with the backends that it uses, of which there are few in a large service (package
// admission); the work of a collector grows with the nodes of its zone.
//
// # Goroutines
//
// The caller starts Service.Run, which ends with its context; a process that only collects need not run it. Handlers run
// on the goroutine of the transport that receives datagrams. All state is guarded by the mutex of the Service.
//
// # Files in reading order
//
//   - message.go, codec.go: what is sent
//   - service.go: construction and the periodic reports
//   - report.go: a node's side: reports, and their responses
//   - collect.go, collector.go, totals.go: the collector's side
//   - candidates.go: which process is the collector
package load
