// Package gossip spreads the newest version of a few values to all members, with the proof that the version is the
// newest. It uses epidemic dissemination (Demers et al., "Epidemic algorithms for replicated database maintenance",
// 1987).
//
// A new version is announced to a few members by datagram (rumor mongering). A member that lacks the version fetches the
// value once and then announces it in turn. In each heartbeat a member exchanges digests with a partner (anti-entropy),
// usually a control process of its own zone, so that a lost announcement does not leave a member behind. A member that
// has a recent version receives the differences to the newest one, any other member the whole value.
//
// # Terms
//
//   - Topic: a value of which all members keep the newest version.
//   - Version: orders the values of a topic. Two values of a topic with the same version are identical.
//   - Local version: the version of a topic that this process has.
//   - Proof: states that a version was the newest at a certain time. Its age is the time since then.
//   - Summary: the version that a member has of a topic, with the age of its proof. A digest is the summaries of all
//     topics.
//   - Update: a version that is sent to a member, as the whole value or as steps.
//   - Step: the difference from one version of a value to a later one.
//
// # Guarantees
//
// Subscribers are never called with an older version after a newer one. Once messages are delivered again and no newer
// version is published, all members converge on the newest version.
//
// The age of a proof is never understated, even if messages are delayed or processes freeze: messages carry ages rather
// than times, and a requester counts the age in an answer from the time at which it sent the request. A proof that was
// true where Certify was called is therefore true at every member: the version was the newest at the time that the proof
// states.
//
// A proof vouches for one version. Between the arrival of a newer version and the end of the calls of the subscribers, a process
// still uses the former version, which the proof of the newer one does not cover; ProofAge therefore takes the version that is
// used.
//
// Nothing is stored on disk.
//
// # Files, in reading order
//
//	value.go         topics, versions, values
//	message.go       the messages; codec.go and update_codec.go encode them
//	entry.go         the state of one topic; proof.go: the proof for its version
//	disseminator.go  the state machine: its events and timers
//	announce.go      announcement of new versions
//	antientropy.go   exchange of digests
//	fetch.go         fetching of a version from the member that has it
//	history.go       the most recent steps, and the updates made from them
//	select.go        random choice of members
//	service.go       runs the state machine with package driver, over package peer
//	delivery.go      calls of the subscribers
//	packer.go        compression and caching of whole values
package gossip
