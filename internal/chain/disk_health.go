package chain

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// diskTask is what a replica uses its disk for.
type diskTask string

const (
	logTask      diskTask = "log"      // entries and the record of the view
	snapshotTask diskTask = "snapshot" // snapshots that replace entries
	voteTask     diskTask = "vote"     // the state of the voter
)

// troubleLogInterval is the time between two log messages about a disk that goes on failing.
const troubleLogInterval = 30 * time.Second

// DiskStatus says whether a replica's disk works.
type DiskStatus struct {
	// Failures counts the operations that have failed since the replica was opened.
	Failures uint64
	// FailingSince is when the first of the operations failed that are now tried again and again, zero if there is none.
	FailingSince time.Time
	// Err is the error of the last failure of these operations.
	Err error
}

// Add returns the sum of the failures of two statuses, and the trouble that began first.
func (s DiskStatus) Add(other DiskStatus) DiskStatus {
	s.Failures += other.Failures
	if s.FailingSince.IsZero() || !other.FailingSince.IsZero() && other.FailingSince.Before(s.FailingSince) {
		s.FailingSince, s.Err = other.FailingSince, other.Err
	}
	return s
}

// diskTrouble describes a task that the disk does not carry out at present.
type diskTrouble struct {
	since    time.Time
	loggedAt time.Time
	err      error
	failures int
}

// diskHealth records the failures of a replica's disk, and logs when they begin, go on and end.
type diskHealth struct {
	log *zap.Logger

	mutex    sync.Mutex
	failures uint64
	troubles map[diskTask]diskTrouble
}

func newDiskHealth(log *zap.Logger, chain uint32) *diskHealth {
	return &diskHealth{log: log.With(zap.Uint32("chain", chain)), troubles: map[diskTask]diskTrouble{}}
}

// fail records a failure of a task that will be tried again, and reports whether it is the first one in a row.
func (h *diskHealth) fail(task diskTask, err error) (first bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	h.failures++
	trouble, known := h.troubles[task]
	if !known {
		trouble.since = now
	}
	trouble.err = err
	trouble.failures++
	if now.Sub(trouble.loggedAt) >= troubleLogInterval {
		trouble.loggedAt = now
		h.log.Warn("disk failed, trying again", zap.String("task", string(task)), zap.Duration("for", now.Sub(trouble.since)),
			zap.Int("failures", trouble.failures), zap.Error(err))
	}
	h.troubles[task] = trouble
	return !known
}

// failOnce records a failure of a task that is not tried again by itself.
func (h *diskHealth) failOnce(task diskTask, err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failures++
	h.log.Warn("disk failed", zap.String("task", string(task)), zap.Error(err))
}

// succeed records that a task was carried out.
func (h *diskHealth) succeed(task diskTask) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	trouble, known := h.troubles[task]
	if !known {
		return
	}
	delete(h.troubles, task)
	h.log.Info("disk works again", zap.String("task", string(task)), zap.Duration("after", time.Since(trouble.since)),
		zap.Int("failures", trouble.failures))
}

// isFailing reports whether the disk does not carry out a task at present.
func (h *diskHealth) isFailing(task diskTask) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_, failing := h.troubles[task]
	return failing
}

// status returns the status of the disk, with the trouble that began first.
func (h *diskHealth) status() DiskStatus {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	status := DiskStatus{Failures: h.failures}
	for _, trouble := range h.troubles {
		if status.FailingSince.IsZero() || trouble.since.Before(status.FailingSince) {
			status.FailingSince, status.Err = trouble.since, trouble.err
		}
	}
	return status
}
