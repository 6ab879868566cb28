package chain

import (
	"time"

	"nickelline/internal/view"
)

// receiveStart truncates the log to what it shares with the log of the sender. It records a violation instead if the log
// does not have the position that the sender names, or if committed entries would be truncated.
func (r *Replica) receiveStart(now time.Duration, sender view.ReplicaID, m Start) {
	u := &r.upstream
	if !r.checkSession(sender, m.Session) || m.Generation != r.generation || u.started {
		return
	}
	if held, ok := r.history.position(m.Match.Sequence); !ok || held != m.Match || m.Match.Sequence < r.committed {
		r.reportViolation(sender, "session starts at %v, committed is %d", m.Match, r.committed)
		return
	}
	r.truncate(now, m.Match.Sequence)
	u.started = true
	u.target = m.Target
	u.committed = m.Target
	if r.view.Has(r.self.Replica) {
		u.committed = 0
		u.attachAt = 0
	} else {
		u.attachAt = now + learnerInterval
	}
	u.ackDue = true
}

// receiveAppend appends entries that follow the last one of this replica's log. It asks for a new session if entries are
// missing between them.
func (r *Replica) receiveAppend(sender view.ReplicaID, m Append) {
	u := &r.upstream
	if !r.checkSession(sender, m.Session) {
		return
	}
	if !u.started || m.Previous != r.history.last() {
		r.requestNewSession(m.Session)
		return
	}
	r.append(m.Entries)
	u.committed = max(u.committed, m.Committed)
	if m.Barrier > u.barrier {
		u.barrier = m.Barrier
	}
}

// commitReceived commits what is known to be committed and is on this replica's disk, so that the applied state is never
// ahead of the disk.
func (r *Replica) commitReceived() {
	if r.upstream.started {
		r.commit(min(r.upstream.committed, r.synced))
	}
}
