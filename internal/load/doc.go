// Package load computes, for backends that do not report their own load, the totals of the requests that all nodes have in
// flight at each backend.
//
// Each node reports its own requests to the collector of its zone and receives the totals in the response. The collectors
// of different zones exchange summaries of their zones. The totals are not metrics but an input of package admission,
// which limits the requests of all nodes at a backend.
//
// The collector of a zone is the first of the zone's candidates, a list that all nodes derive from the membership table. A
// node that receives no responses switches to the next candidate on its own, so a zone may temporarily have two
// collectors, each with the totals of its own reporters.
//
// # Guarantees
//
// Totals are approximate: messages are datagrams, which may be lost, and state is in memory only. When a collector is
// replaced, the next one has complete totals after one report from each node. Reports and summaries expire after a few
// intervals without renewal. A node without a collector knows only its own requests.
//
// The size of a node's messages grows with the number of backends that it uses, which package admission limits in a large
// service. The work of a collector grows with the number of nodes in its zone.
//
// # Goroutines
//
// The caller runs Service.Run in a goroutine, which ends with its context; a process that only collects need not run it.
// Handlers run on the goroutine of the transport that receives datagrams. The mutex of the Service guards all state except
// that of candidates, which has its own.
//
// # Files in reading order
//
//   - message.go, codec.go: the messages and their encoding
//   - service.go: construction and the periodic reports
//   - report.go: the reporting side: sends reports and handles responses
//   - collect.go, collector.go, totals.go: the collecting side
//   - candidates.go: selection of the collector
package load
