// Package member keeps the list of the processes of a deployment with SWIM (Das, Gupta, Motivala: "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002).
//
// Each member probes one other at a time. When no ack comes it asks others to probe in its place; when none of them gets an
// ack either, it suspects the member. Suspicions, refutations and new members are broadcast by piggybacking them on the
// datagrams. A suspect that does not refute in time is dead. Whole lists are exchanged (anti-entropy) on joining, after a
// pause of the own process, after a network partition has healed, and now and then.
//
// # Terms
//
//   - Generation: the number of a process start (Cassandra's gossip). Two processes at one address differ in it.
//   - Incarnation: SWIM's number that orders the updates about a member. Only the member raises it, to refute a suspicion.
//   - Suspect: a member that has not answered a probe. It counts as running until the suspicion times out.
//   - Assertion: the state that a member is said to have, as of one of its generations and incarnations.
//   - Digest: a hash over the running members. Two members with equal digests hold equal lists.
//
// # Guarantees
//
// The list is weakly consistent: members learn of a change at different times, and one may for a while hold a running
// member to be dead. Once messages arrive again, all members come to hold the same list. A member that runs and can be
// reached by most others stays in it; one that refutes a suspicion gets more time to answer for a while. Nothing here is a
// proof that a process has ended: what needs one takes it from a lease.
//
// Nothing is kept on disk.
//
// # Files, in reading order
//
//	member.go       a member: identity, state, order of assertions
//	table.go        the published list
//	message.go      the messages; codec.go and record_codec.go encode them
//	membership.go   the state machine: its events and what falls due
//	update.go       how records and assertions change the list
//	probe.go        failure detector: direct and indirect probes
//	suspicion.go    suspicions, their time-outs and their end
//	broadcast.go    dissemination of updates
//	join.go         joining by way of seeds, rejoining after a partition
//	antientropy.go  exchange of whole lists; digest.go: the hash that shows whether lists differ
//	leave.go        planned end of this process
//	service.go      the state machine over package peer, run by package driver
//	publisher.go    calls of the subscribers with new tables
package member
