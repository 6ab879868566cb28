package store

import (
	"time"

	"go.uber.org/zap"

	"nickelline/internal/configuration"
	"nickelline/internal/settings"
	"nickelline/internal/store/scheduler"
)

const (
	// A confirmation that this store is the head has to be younger than the time within which an ended job must
	// stop, divided by this.
	sendConfirmationDivisor = 3
	// Cancellation bound and status interval where the deployment sets none.
	defaultCancellation   = 3 * time.Second
	defaultStatusInterval = 120 * time.Second
	// streamReadInterval is the rhythm in which the responses of running items are read.
	streamReadInterval = 100 * time.Millisecond
	// checkpointInterval is how much of the generation of a text may be lost with a head.
	checkpointInterval = 1500 * time.Millisecond
	// statusMargin is kept on top of the time for which closed jobs are kept.
	statusMargin = 5 * time.Second
	// The items that run at one time may take the memory divided by itemMemoryDivisor, at itemMemory bytes each.
	itemMemory        = 128 << 10
	itemMemoryDivisor = 4
	maxRunningItems   = 1000
)

// runnerConfig is what the runners of all partitions of a store share: collaborators, limits, and the parts of the scheduler
// that arbitrate between partitions. It is not changed once runners use it.
type runnerConfig struct {
	admission Admission
	sender    Sender
	// configuration returns the configuration, and whether it is confirmed to be as current as for live requests.
	configuration func() (*configuration.Snapshot, bool)
	// sendConfirmationAge is how old the confirmation that this store is the head may be when it sends an item.
	sendConfirmationAge time.Duration
	// stepDownAfter is how old that confirmation may grow before running items are cancelled: another store may be the head.
	stepDownAfter time.Duration
	// statusInterval is how long closed jobs are kept.
	statusInterval time.Duration
	// checkpointInterval is how often the text of a running item is replicated: more is not lost with a head.
	checkpointInterval time.Duration

	slots      *scheduler.Slots
	retryQueue *scheduler.RetryQueue
	pacer      *scheduler.Pacer
	log        *zap.Logger
}

func newRunnerConfig(o *Options) *runnerConfig {
	cancellation := durationOr(settings.Milliseconds(o.Bounds.CancellationMs), defaultCancellation)
	status := durationOr(settings.Seconds(o.Bounds.StatusIntervalS), defaultStatusInterval)
	return &runnerConfig{
		admission:           o.Admission,
		sender:              o.Sender,
		configuration:       currentOnlyIfKnown(o.Configuration),
		sendConfirmationAge: cancellation / sendConfirmationDivisor,
		stepDownAfter:       cancellation,
		statusInterval:      status + statusMargin,
		checkpointInterval:  checkpointInterval,
		slots:               scheduler.NewSlots(runningItems(o.MemoryMB)),
		retryQueue:          scheduler.NewRetryQueue(),
		pacer:               scheduler.NewPacer(streamReadInterval),
		log:                 o.Log,
	}
}

// runningItems returns how many items may run at one time with an amount of memory.
func runningItems(memoryMB int) int {
	fitting := memoryMB << 20 / itemMemoryDivisor / itemMemory
	return max(min(fitting, maxRunningItems), 1)
}

// currentOnlyIfKnown returns the same function, except that a configuration which has not arrived yet is not current.
func currentOnlyIfKnown(configured func() (*configuration.Snapshot, bool)) func() (*configuration.Snapshot, bool) {
	return func() (*configuration.Snapshot, bool) {
		snapshot, current := configured()
		return snapshot, current && snapshot != nil
	}
}

// durationOr returns a duration, or a default if it is not set.
func durationOr(duration, defaultDuration time.Duration) time.Duration {
	if duration > 0 {
		return duration
	}
	return defaultDuration
}
