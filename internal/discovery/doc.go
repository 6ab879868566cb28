// Package discovery keeps the list of backends: it polls the platform's listing, encodes it for dissemination by gossip,
// and gives each node an immutable List.
//
// Any node may poll, but the platform limits the rate of calls, so nodes take turns: the live control node with the
// lowest address (rank 0, the primary) polls all the time. The others poll only when the proof of their list gets old,
// which means that those before them have failed: first the other control nodes in the order of their ranks, then all
// nodes. Before that they pull a younger proof from a control node, which costs the platform nothing. Polls are
// idempotent: two nodes that poll at the same time do no harm.
//
// A proof says that at some time a version of the list was the platform's. Its age bounds how stale the list may be. A
// change has to be in force on all nodes within the drain time-out of when the listing shows it: the time between two
// polls plus dissemination, or, where the primary fails, the longer time after which the next rank polls.
//
// # Guarantees
//
//   - A complete listing replaces the list only if nothing newer has arrived since the poll started; a failed or partial
//     one changes nothing except that backends shown as draining are published as draining at once.
//   - Versions have the writer's address in their low bits, so that two writers never publish different lists under the
//     same version (nextSequence).
//   - A poll stays below the platform's rate of calls, apart from a burst at the start of a poll of the primary
//     (callPacing). Nodes that are no control nodes space their polls so that all of them together stay below it
//     (schedule.minInterval).
//
// # Goroutines
//
// The caller starts Poller.Run, which ends with its context. There is no other goroutine; a Poller is not safe for
// concurrent use. A List is immutable and may be shared.
//
// # Files in reading order
//
//   - backend.go, list.go: the data
//   - codec.go: the encoded list
//   - platform.go, pacing.go: one pass over the platform's pages
//   - schedule.go: when a node polls and pulls, without a clock
//   - poller.go, publish.go: polling, and publishing what has changed
package discovery
