package main

import (
	"path"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/segment"
)

const (
	diskCheckName   = "check"
	diskCheckPeriod = 500 * time.Millisecond
	diskCheckSize   = 64 << 10 // bytes; with less free space than this, a restart is not worthwhile
)

// reportFirstFailure returns a function that sends the first failure to a channel with a buffer of one and drops the others.
func reportFirstFailure(failed chan<- error) func(error) {
	return func(err error) {
		select {
		case failed <- err:
		default:
		}
	}
}

// awaitTermination returns nil once the process is asked to terminate. If its disk fails first, it returns that failure as
// described at awaitDiskRecovery.
func (p *process) awaitTermination(failed <-chan error, caught *signals, fileSystem segment.FileSystem) error {
	select {
	case failure := <-failed:
		return p.awaitDiskRecovery(failure, caught, fileSystem)
	case <-caught.terminate:
		return nil
	}
}

// awaitDiskRecovery returns failure once the disk accepts writes again or the process is asked to terminate. A replica whose
// disk failed does nothing until the process restarts, and a restart before the disk has recovered would only fail again.
func (p *process) awaitDiskRecovery(failure error, caught *signals, fileSystem segment.FileSystem) error {
	p.log.Error("disk failed, waiting until it accepts writes again", zap.Error(failure))
	ticker := time.NewTicker(diskCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-caught.terminate:
			return failure
		case <-ticker.C:
		}
		if checkDisk(fileSystem, p.settings.DataDirectory) == nil {
			return failure
		}
	}
}

// checkDisk checks that a file of diskCheckSize bytes can be written and removed.
func checkDisk(fileSystem segment.FileSystem, directory string) error {
	name := path.Join(directory, diskCheckName)
	err := segment.SaveRecord(fileSystem, name, make([]byte, diskCheckSize))
	if removeErr := fileSystem.Remove(name); err == nil {
		err = removeErr
	}
	return err
}
