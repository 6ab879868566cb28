// Package member maintains the list of the processes of a deployment with SWIM (Das, Gupta, Motivala: "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002).
//
// Each member probes one other member at a time. When no ack arrives in time, it asks further members to probe the
// target; when none of them gets an ack either, it suspects the target. Suspicions, refutations and new members are
// broadcast in rumors and piggybacked on probes and acks. A suspect that does not refute in time is declared dead. A
// member exchanges whole lists with another one (anti-entropy) when it joins, after a pause of its process, after a
// network partition has healed, and periodically.
//
// # Terms
//
//   - Generation: the number of a process start, as in Cassandra's gossip. Two processes at one address differ in it.
//   - Incarnation: SWIM's number that orders the updates about a member. Only the member itself raises it.
//   - Suspect: a member that has not answered a probe. It counts as running until the suspicion times out.
//   - Assertion: a claim about the state of a member, as of one of its generations and incarnations.
//   - Rumor: a datagram that carries nothing but updates.
//   - Digest: a hash over the running members. Members with equal digests have equal lists of running members.
//
// # Guarantees
//
// The list is weakly consistent: members learn of a change at different times, and a member may temporarily consider a
// running one dead. Once messages are delivered again, the lists of all members converge. A running member that most
// others can reach stays in the list; one that has refuted a suspicion is given more time to answer for a while. The
// list is no proof that a process has ended: code that needs a proof relies on a lease.
//
// Nothing is stored on disk.
//
// # Files, in reading order
//
//	member.go       a member: identity, state, order of its assertions
//	table.go        the published list
//	message.go      the messages; codec.go and record_codec.go encode them
//	membership.go   the state machine: its events and deadlines
//	update.go       how records and assertions change the list
//	probe.go        failure detector: direct and indirect probes
//	suspicion.go    suspicions and their timeouts
//	broadcast.go    dissemination of updates
//	join.go         joining through seeds, rejoining after a partition
//	antientropy.go  exchange of whole lists; digest.go: the hash that tells whether lists differ
//	leave.go        planned leave of this process
//	service.go      the state machine over package peer, run by package driver
//	publisher.go    calls the subscribers with new tables
package member
