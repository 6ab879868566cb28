package chain

import (
	"time"

	"nickelline/internal/segment"
)

// flushEntries sends entries that are on this replica's disk, and to a learner only committed ones. It begins a new
// session if the history no longer has the next entry.
func (r *Replica) flushEntries(now time.Duration, l *link) {
	if l.next <= r.history.base.Sequence {
		r.connect(now, l)
		return
	}
	limit := r.synced
	if l.learner {
		limit = min(limit, r.committed)
	}
	for l.next <= limit && (l.stored == l.next-1 || r.inFlight(l) < r.limits.window) {
		entries := r.history.batch(l.next-1, limit, r.limits.batch)
		r.sendAppend(now, l, entries)
	}
	if l.committedSent < min(r.committed, l.next-1) || l.barrierSent < r.barrierFor(l) {
		r.sendAppend(now, l, nil)
	}
}

// sendAppend sends entries, possibly none, with the newest committed sequence and barrier round.
func (r *Replica) sendAppend(now time.Duration, l *link, entries []segment.Entry) {
	previous, _ := r.history.position(l.next - 1)
	idle := !l.outstanding()
	barrier := r.barrierFor(l)
	r.sendOn(l, Append{
		Session:   l.session,
		Previous:  previous,
		Entries:   entries,
		Committed: r.committed,
		Barrier:   barrier,
	})
	l.next += uint64(len(entries))
	l.committedSent = r.committed
	l.barrierSent = barrier
	if idle && l.outstanding() {
		r.setRetryDeadline(now, l)
	}
}

// barrierFor returns the newest barrier round to send on a link, 0 on the link to a learner.
func (r *Replica) barrierFor(l *link) uint64 {
	if l.learner {
		return 0
	}
	if r.isHead() {
		return r.head.barriers.round
	}
	return r.upstream.barrier
}

// acknowledgeEntries records what a receiver, and all replicas after it, have on disk.
func (r *Replica) acknowledgeEntries(now time.Duration, l *link, m Acknowledge) {
	if m.Stored > l.stored || m.Synced > l.syncedToTail || m.Barrier > l.barrierAcked || m.Ready != l.ready {
		r.noteProgress(now, l)
	}
	l.stored = max(l.stored, min(m.Stored, l.next-1))
	l.syncedToTail = max(l.syncedToTail, min(m.Synced, l.next-1))
	l.barrierAcked = max(l.barrierAcked, m.Barrier)
	l.ready = m.Ready
	if !l.outstanding() {
		l.deadline = 0
	}
}

// inFlight returns the bytes of entries that were sent and are not known to be on the receiver's disk.
func (r *Replica) inFlight(l *link) uint64 {
	return r.history.bytesUpTo(l.next-1) - r.history.bytesUpTo(l.stored)
}
