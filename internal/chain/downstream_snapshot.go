package chain

import (
	"time"

	"nickelline/internal/segment"
)

// SnapshotTaken handles the snapshot that the driver took in response to Output.SnapshotRequested: the state at a
// committed entry. The snapshot is sent to all receivers that wait for one, unless the history no longer reaches back to
// that entry.
func (r *Replica) SnapshotTaken(now time.Duration, snapshot segment.Snapshot) {
	position := Position{Epoch: snapshot.Epoch, Sequence: snapshot.Sequence}
	if held, ok := r.history.position(snapshot.Sequence); ok && held == position {
		for _, l := range r.links() {
			if l.state == linkAwaitingSnapshot {
				l.state = linkSendingSnapshot
				l.snapshot = &snapshot
				l.snapshotSent = 0
				l.snapshotAcked = 0
				r.noteProgress(now, l)
			}
		}
	}
	r.advance(now)
}

// acknowledgeSnapshot records how many bytes of the snapshot the receiver has. Entries follow once it has all of them.
func (r *Replica) acknowledgeSnapshot(now time.Duration, l *link, received uint64) {
	if received <= l.snapshotAcked {
		return
	}
	l.snapshotAcked = received
	r.noteProgress(now, l)
	if received == l.snapshotTotal() {
		r.start(now, l, Position{Epoch: l.snapshot.Epoch, Sequence: l.snapshot.Sequence})
	}
}

// flushSnapshot sends chunks of the snapshot, at most snapshotWindow ahead of what the receiver has acknowledged.
func (r *Replica) flushSnapshot(now time.Duration, l *link) {
	total := l.snapshotTotal()
	for l.snapshotSent < total && l.snapshotSent-l.snapshotAcked < snapshotWindow*r.limits.snapshotChunk {
		end := min(l.snapshotSent+r.limits.snapshotChunk, total)
		r.sendOn(l, SnapshotChunk{
			Session:    l.session,
			Generation: l.generation,
			Position:   Position{Epoch: l.snapshot.Epoch, Sequence: l.snapshot.Sequence},
			Total:      total,
			Offset:     l.snapshotSent,
			Data:       l.snapshot.Data[min(l.snapshotSent, uint64(len(l.snapshot.Data))):min(end, uint64(len(l.snapshot.Data)))],
		})
		l.snapshotSent = end
		r.setRetryDeadline(now, l)
	}
}
