package chain

import (
	"maps"
	"time"

	"nickelline/internal/view"
)

// noteProgress records that a session makes progress, and postpones its retry.
func (r *Replica) noteProgress(now time.Duration, l *link) {
	l.attempts = 0
	r.setRetryDeadline(now, l)
}

// setRetryDeadline sets when a session without progress is replaced. It allows time for the bytes in flight at
// minLinkBytesPerSecond, and backs off exponentially with the attempts without progress.
func (r *Replica) setRetryDeadline(now time.Duration, l *link) {
	var bytes uint64
	switch l.state {
	case linkStreaming:
		bytes = r.inFlight(l)
	case linkSendingSnapshot:
		bytes = l.snapshotSent - l.snapshotAcked
	case linkConnecting, linkAwaitingSnapshot: // nothing is in flight
	}
	transfer := time.Duration(bytes) * time.Second / minLinkBytesPerSecond
	l.deadline = now + retryInterval<<min(l.attempts, maxRetryDoublings) + transfer
}

// retry begins a new session on a link that has made no progress before its deadline, or asks the driver again for a
// snapshot that the link waits for.
func (r *Replica) retry(now time.Duration, l *link) {
	if l.deadline == 0 || now < l.deadline {
		return
	}
	l.attempts++
	if l.state == linkAwaitingSnapshot {
		r.out.SnapshotRequested = true
		r.setRetryDeadline(now, l)
		return
	}
	r.connect(now, l)
}

// dropUnresponsiveLearners drops learners that do not answer. A learner that is alive asks for a session again.
func (r *Replica) dropUnresponsiveLearners() {
	maps.DeleteFunc(r.learners, func(_ view.ReplicaID, l *link) bool { return l.attempts > learnerAttempts })
}
