package main

import (
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/settings"
)

const (
	// exitFraction is the part of the grace period after which a process that was asked to terminate ends at the latest, whatever it
	// still waits for, such as a disk that hangs.
	exitFraction = 0.95
	// maxStacksSize bounds the stacks of goroutines that are logged then, in bytes.
	maxStacksSize = 256 << 10
	// overdueExitCode is the exit code of a process that did not come to its end by itself.
	overdueExitCode = 1
)

// endInTime makes the process end within its grace period once it is asked to terminate. All that has been acknowledged is on disk by
// then, so that nothing is lost but what was still being answered.
func (p *process) endInTime() {
	grace := settings.Seconds(p.settings.Bounds.GracePeriodS)
	if grace <= 0 {
		return
	}
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	go awaitDeadline(terminate, time.Duration(exitFraction*float64(grace)), func(limit time.Duration) {
		p.logStacks(limit)
		os.Exit(overdueExitCode)
	})
}

// awaitDeadline calls exit once the limit has passed after a signal.
func awaitDeadline(terminate <-chan os.Signal, limit time.Duration, exit func(limit time.Duration)) {
	<-terminate
	timer := time.NewTimer(limit)
	defer timer.Stop()
	<-timer.C
	exit(limit)
}

// logStacks logs what the process is waiting for.
func (p *process) logStacks(limit time.Duration) {
	stacks := make([]byte, maxStacksSize)
	stacks = stacks[:runtime.Stack(stacks, true)]
	p.log.Error("process has not ended in time, it is ended", zap.Duration("after", limit), zap.ByteString("stacks", stacks))
	_ = p.log.Sync()
}
