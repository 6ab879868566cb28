// Package gossip spreads the newest version of a few values to all members, and the proof that it is the newest, by epidemic
// dissemination (Demers et al., "Epidemic algorithms for replicated database maintenance", 1987).
//
// A new version is announced to a few members by datagram (rumor mongering). A member that lacks it fetches the value once
// and announces it in its turn. Each heartbeat a member exchanges a digest of what it has with a partner (anti-entropy), most
// often a control process of its own zone, so that nothing that was missed stays missed. A member that has a recent version is
// sent the differences to the newest, any other the whole value.
//
// # Terms
//
//   - Topic: a value of which all members keep the newest version.
//   - Version: orders the values of a topic. Two values of one version are the same.
//   - Proof: says that at some time a version was the newest. Its age is the time since then.
//   - Summary: the version that a member has of a topic, with the age of its proof. A digest is the summaries of all topics.
//   - Update: a version on its way to a member, whole or as differences.
//
// # Guarantees
//
// Subscribers are never called with an older version after a newer one. Once messages arrive again and nothing newer is
// published, all members come to have the newest version.
//
// A proof is never held to be younger than it is, through delays and freezes of processes: ages travel, not times, and the
// member that asks counts the age from when it asked. That the held version was the newest at the time that its proof says
// is thus true at each member, if it was true where Certify was called.
//
// Nothing is kept on disk.
//
// # Files, in reading order
//
//	value.go         topics, versions, values
//	message.go       the messages; codec.go and update_codec.go encode them
//	entry.go         what a process has of one topic; proof.go: the proof for it
//	disseminator.go  the state machine: its events and what falls due
//	announce.go      announcement of new versions
//	antientropy.go   exchange of digests
//	fetch.go         fetching of a version from the member that has it
//	history.go       the last differences, and updates made of them
//	select.go        choice of members at random
//	service.go       the state machine over package peer, run by package driver
//	delivery.go      calls of the subscribers
//	packer.go        compression of whole values
package gossip
