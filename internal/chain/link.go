package chain

import (
	"maps"
	"slices"
	"time"

	"nickelline/internal/segment"
	"nickelline/internal/view"
)

// linkState is the phase of a session, as its sender sees it.
type linkState uint8

const (
	linkConnecting       linkState = iota // the receiver has not answered with its history
	linkAwaitingSnapshot                  // the driver has not taken the snapshot that the receiver needs
	linkSendingSnapshot                   // chunks of the snapshot are sent
	linkStreaming                         // entries are sent
)

// link is the sending side of a session, to the successor or to a learner.
type link struct {
	to      view.Member
	learner bool

	session      Session
	state        linkState
	generation   uint64 // of the receiver, from its History
	next         uint64 // sequence of the next entry to send
	stored       uint64 // sequence up to which the log is on the receiver's disk
	syncedToTail uint64 // sequence up to which the log is on the disks of the receiver and of all after it
	ready        bool   // the chain is connected from the receiver to the tail

	committedSent uint64 // committed sequence that was sent last
	barrierSent   uint64 // newest barrier round that was sent
	barrierAcked  uint64 // newest barrier round that came back from the tail

	snapshot      *segment.Snapshot // being sent, nil if none is
	snapshotSent  uint64            // bytes
	snapshotAcked uint64            // bytes

	deadline time.Duration // by which progress is expected, 0 if none is
	attempts int           // retries since the last progress
}

// neededAfter returns the sequence after which the receiver needs entries, the highest uint64 if it is not known.
func (l *link) neededAfter() uint64 {
	switch {
	case l.state == linkStreaming:
		return l.next - 1
	case l.snapshot != nil:
		return l.snapshot.Sequence
	}
	return ^uint64(0)
}

// outstanding reports whether the receiver still has to acknowledge something.
func (l *link) outstanding() bool {
	if l.state != linkStreaming || l.stored < l.next-1 {
		return true
	}
	return !l.learner && (!l.ready || l.syncedToTail < l.next-1 || l.barrierAcked < l.barrierSent)
}

// snapshotTotal returns the length of the snapshot in bytes, but at least 1 so that an empty one is acknowledged too.
func (l *link) snapshotTotal() uint64 { return max(1, uint64(len(l.snapshot.Data))) }

// sendOn queues a message to the receiver of a link.
func (r *Replica) sendOn(l *link, body Body) { r.send(l.to.Address, l.to.Replica, body) }

// links returns all links in a fixed order.
func (r *Replica) links() []*link {
	if r.successor == nil && len(r.learners) == 0 {
		return nil
	}
	var all []*link
	if r.successor != nil {
		all = append(all, r.successor)
	}
	for _, replica := range r.learnerOrder() {
		all = append(all, r.learners[replica])
	}
	return all
}

// learnerOrder returns the learners in a fixed order.
func (r *Replica) learnerOrder() []view.ReplicaID {
	return slices.Sorted(maps.Keys(r.learners))
}

// linkTo returns the link to a replica, nil if there is none.
func (r *Replica) linkTo(replica view.ReplicaID) *link {
	if r.successor != nil && r.successor.to.Replica == replica {
		return r.successor
	}
	return r.learners[replica]
}
