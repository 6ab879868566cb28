package main

import (
	"time"

	"go.uber.org/zap"

	"nickelline/internal/segment"
)

const (
	diskRetryPause  = 250 * time.Millisecond // before the disk is tried again during the start of a process
	diskLogInterval = 30 * time.Second       // between two log messages about that
)

// diskFileSystem is the file system of all disks. Tests replace it.
var diskFileSystem segment.FileSystem = segment.OSFileSystem{}

// diskWait waits during the start of a process for a disk that fails, or after files were found to be damaged.
type diskWait struct {
	log        *zap.Logger
	caught     *signals
	loggedAt   time.Time
	terminated bool
}

// again waits before the disk is tried again, and reports false if the process has been asked to terminate meanwhile.
func (w *diskWait) again(failure error) bool {
	if time.Since(w.loggedAt) >= diskLogInterval {
		w.loggedAt = time.Now()
		w.log.Warn("start failed, trying again", zap.Error(failure))
	}
	timer := time.NewTimer(diskRetryPause)
	defer timer.Stop()
	select {
	case <-w.caught.terminate:
		w.terminated = true
	case <-timer.C:
	}
	return !w.terminated
}

// reportFirstFailure returns a function that sends the first failure to a channel with a buffer of one and drops the others.
func reportFirstFailure(failed chan<- error) func(error) {
	return func(err error) {
		select {
		case failed <- err:
		default:
		}
	}
}

// awaitTermination returns nil once the process is asked to terminate, or the failure of a replica that cannot go on before the next
// start of the process.
func (p *process) awaitTermination(failed <-chan error, caught *signals) error {
	select {
	case failure := <-failed:
		p.log.Error("a replica cannot go on, the process ends", zap.Error(failure))
		return failure
	case <-caught.terminate:
		return nil
	}
}
