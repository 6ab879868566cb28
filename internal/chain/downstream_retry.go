package chain

import (
	"maps"
	"time"

	"nickelline/internal/view"
)

// noteProgress puts off the retry.
func (r *Replica) noteProgress(now time.Duration, l *link) {
	l.attempts = 0
	r.setRetryDeadline(now, l)
}

func (r *Replica) setRetryDeadline(now time.Duration, l *link) {
	var bytes uint64
	switch l.state {
	case linkStreaming:
		bytes = r.inFlight(l)
	case linkSendingSnapshot:
		bytes = l.snapshotSent - l.snapshotAcked
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

// dropUnresponsiveLearners forgets learners that do not answer. They ask again if they live.
func (r *Replica) dropUnresponsiveLearners() {
	maps.DeleteFunc(r.learners, func(_ view.ReplicaID, l *link) bool { return l.attempts > learnerAttempts })
}
