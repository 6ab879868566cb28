package store

import (
	"time"

	"go.uber.org/zap"

	"nickelline/internal/configuration"
	"nickelline/internal/settings"
	"nickelline/internal/store/scheduler"
)

const (
	// To send items, the age of the confirmation that this store is the head must be below the cancellation bound divided by
	// sendConfirmationDivisor. The cancellation bound is the time within which an ended job must stop.
	sendConfirmationDivisor = 3
	// Cancellation bound and status interval if the settings have none.
	defaultCancellation   = 3 * time.Second
	defaultStatusInterval = 120 * time.Second
	// streamReadInterval is the interval at which the responses of running items are read.
	streamReadInterval = 100 * time.Millisecond
	// checkpointInterval is how much generation time of a text may be lost with the loss of a head.
	checkpointInterval = 1500 * time.Millisecond
	// statusMargin is added to the status interval before closed jobs are dropped.
	statusMargin = 5 * time.Second
	// Concurrently running items may use the memory divided by itemMemoryDivisor, at itemMemoryBytes each.
	itemMemoryBytes   = 128 << 10
	itemMemoryDivisor = 4
	maxRunningItems   = 1000
)

// runnerConfig holds what the runners of all partitions of a store share: dependencies, limits, and the parts of the scheduler that
// arbitrate between partitions. It does not change once runners use it.
type runnerConfig struct {
	admission Admission
	sender    Sender
	// configuration returns the configuration, and whether it is confirmed to be as current as live requests require.
	configuration func() (*configuration.Current, bool)
	// sendConfirmationAge is the age that the confirmation of leadership must be below to send an item.
	sendConfirmationAge time.Duration
	// stepDownAfter is the age of the confirmation at which running items are cancelled, because another store may be the head.
	stepDownAfter time.Duration
	// statusInterval is how long a job is kept after its submission. A job that is still open then is dropped soon after it has
	// been closed.
	statusInterval time.Duration
	// checkpointInterval is how often the text of a running item is replicated. No more than that is lost with a head.
	checkpointInterval time.Duration

	slots      *scheduler.Slots
	retryQueue *scheduler.RetryQueue
	pacer      *scheduler.Pacer
	held       *routeCounts[holdReason]
	abandoned  *routeCounts[abandonReason]
	log        *zap.Logger
}

func newRunnerConfig(o *Options) *runnerConfig {
	cancellation := durationOr(settings.Milliseconds(o.Bounds.CancellationMs), defaultCancellation)
	status := durationOr(settings.Seconds(o.Bounds.StatusIntervalS), defaultStatusInterval)
	return &runnerConfig{
		admission:           o.Admission,
		sender:              o.Sender,
		configuration:       requireConfiguration(o.Configuration),
		sendConfirmationAge: cancellation / sendConfirmationDivisor,
		stepDownAfter:       cancellation,
		statusInterval:      status + statusMargin,
		checkpointInterval:  checkpointInterval,
		slots:               scheduler.NewSlots(maxRunningItemsFor(o.MemoryMB)),
		retryQueue:          scheduler.NewRetryQueue(),
		pacer:               scheduler.NewPacer(streamReadInterval),
		held:                newRouteCounts[holdReason](),
		abandoned:           newRouteCounts[abandonReason](),
		log:                 o.Log,
	}
}

// maxRunningItemsFor returns how many items may run concurrently with an amount of memory.
func maxRunningItemsFor(memoryMB int) int {
	limit := memoryMB << 20 / itemMemoryDivisor / itemMemoryBytes
	return max(min(limit, maxRunningItems), 1)
}

// requireConfiguration wraps a function that returns the configuration: one that has not arrived yet is never confirmed.
func requireConfiguration(configured func() (*configuration.Current, bool)) func() (*configuration.Current, bool) {
	return func() (*configuration.Current, bool) {
		current, proven := configured()
		return current, proven && current != nil
	}
}

// durationOr returns a duration, or a default if it is not set.
func durationOr(duration, defaultDuration time.Duration) time.Duration {
	if duration > 0 {
		return duration
	}
	return defaultDuration
}
