package chain

import (
	"time"

	"nickelline/internal/segment"
	"nickelline/internal/view"
)

// receiveSnapshotChunk collects a snapshot, and replaces the log with it once all chunks have arrived.
func (r *Replica) receiveSnapshotChunk(now time.Duration, sender view.ReplicaID, m SnapshotChunk) {
	u := &r.upstream
	if !r.checkSession(sender, m.Session) || m.Generation != r.generation || u.started {
		return
	}
	if m.Position.Sequence < r.committed {
		r.reportViolation(sender, "snapshot at %v, committed is %d", m.Position, r.committed)
		return
	}
	if u.snapshot == nil || u.snapshot.position != m.Position {
		u.snapshot = &incomingSnapshot{position: m.Position, total: m.Total}
	}
	if m.Offset != u.snapshot.received {
		r.requestNewSession(m.Session)
		return
	}
	u.snapshot.data = append(u.snapshot.data, m.Data...)
	u.snapshot.received += max(1, uint64(len(m.Data)))
	u.ackDue = true
	if u.snapshot.received < u.snapshot.total {
		return
	}
	r.reset(now, segment.Snapshot{Epoch: m.Position.Epoch, Sequence: m.Position.Sequence, Data: u.snapshot.data})
	u.snapshot.data = nil
}
