package chain

import (
	"maps"
	"time"

	"nickelline/internal/view"
)

// noteProgress handles a sign of progress: the retry is put off.
func (r *Replica) noteProgress(now time.Duration, l *link) {
	l.attempts = 0
	r.setRetryDeadline(now, l)
}

// setRetryDeadline allows for the bytes in flight on a slow link, and longer after each attempt without progress.
func (r *Replica) setRetryDeadline(now time.Duration, l *link) {
	var bytes uint64
	switch l.state {
	case linkStreaming:
		bytes = r.inFlight(l)
	case linkSendingSnapshot:
		bytes = l.snapshotSent - l.snapshotAcked
	case linkConnecting, linkAwaitingSnapshot: // nothing is in flight
	}
	transfer := time.Duration(bytes) * time.Second / slowestLink
	l.deadline = now + retryInterval<<min(l.attempts, retryDoublings) + transfer
}

// retry begins a new session where no progress came in time.
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

// dropUnresponsiveLearners forgets learners that do not answer. Those that are alive ask for a session again.
func (r *Replica) dropUnresponsiveLearners() {
	maps.DeleteFunc(r.learners, func(_ view.ReplicaID, l *link) bool { return l.attempts > learnerAttempts })
}
