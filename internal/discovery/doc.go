// Package discovery keeps the list of backends: it polls the platform's listing, encodes it for dissemination by gossip,
// and gives each node an immutable List.
//
// A proof records that a version of the list matched the platform's listing at a given time. Its age bounds how stale
// the list can be. A change must be in force on all nodes within the drain timeout after the listing shows it. This
// takes the time between two polls plus dissemination or, if the primary fails, the longer time until the next rank
// polls.
//
// Any node may poll, but the platform limits the rate of calls, so nodes take turns. The live control node with the
// lowest address (rank 0, the primary) polls periodically. The other nodes poll only when the proof of their list gets
// old, which means that all lower ranks have failed: first the other control nodes in the order of their ranks, then
// all nodes. Before a node polls, it pulls a younger proof from a control node, which needs no call to the platform.
// Polls are idempotent: two nodes may poll at the same time.
//
// # Guarantees
//
//   - A complete listing replaces the list only if nothing newer has arrived since the poll started. A failed or partial
//     poll changes nothing, except that backends shown as draining are published as draining at once.
//   - Versions have the writer's address in their low bits, so that two writers never publish different lists under the
//     same version (nextSequence).
//   - A poll stays below the platform's rate limit, apart from a burst at the start of a poll by the primary
//     (callPacing). Nodes that are not control nodes space their polls so that all of them together stay below the limit
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
//   - schedule.go: when a node polls and pulls, computed from times that the caller passes in
//   - poller.go, publish.go: polling the listing and publishing changes
package discovery
