package store

import (
	"context"
	"sync"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/pause"
	"nickelline/internal/store/scheduler"
)

const (
	// reviewInterval is how often a runner that has jobs reviews the age of its jobs, attempts and confirmation.
	reviewInterval = 500 * time.Millisecond
	// unconfirmedPause is the pause after the runner could not confirm that it may run items.
	unconfirmedPause = 100 * time.Millisecond
	// maxSleep bounds the sleep of an idle runner, which is woken when there is work.
	maxSleep = time.Hour
	// minSleep keeps the loop from spinning.
	minSleep = time.Millisecond
)

// runner runs the items of a partition in one term, during which this store is the head without interruption: it drives a
// scheduler.Schedule, and owns the attempts.
//
// Goroutines: hostedPartition starts run and waits for its end. run starts one goroutine for each attempt, which calls
// attemptEnded as its last step and may outlive run shortly; the contexts of the attempts end with that of run. The appender has a
// goroutine while there are results to append; run waits for its end.
type runner struct {
	config    *runnerConfig
	partition *partition
	appender  *appender
	wake      chan struct{}

	mutex    sync.Mutex
	schedule *scheduler.Schedule
	running  map[*scheduler.Item]*attempt
	added    []batch.Key // jobs that are not in the schedule yet
	reload   bool        // all pending jobs must be read from the state
	lastDrop time.Time   // when the runner last looked for closed jobs to drop
}

// newRunner returns the runner of a term. It must run only after the runners of former terms have ended.
func newRunner(config *runnerConfig, p *partition, term uint64) *runner {
	return &runner{
		config:    config,
		partition: p,
		appender:  &appender{partition: p, term: term, log: config.log},
		wake:      make(chan struct{}, 1),
		schedule:  scheduler.NewSchedule(),
		running:   map[*scheduler.Item]*attempt{},
		reload:    true,
		lastDrop:  time.Now(),
	}
}

// run runs items until ctx ends, which cancels all attempts. Nothing is appended after run has returned.
func (r *runner) run(ctx context.Context) {
	r.partition.state.setListener(r)
	defer r.partition.state.setListener(nil)
	for !r.awaitApplied(ctx) {
		pause.For(ctx, unconfirmedPause)
		if ctx.Err() != nil {
			return
		}
	}
	defer r.leaveRetryQueue()
	defer r.appender.close()
	r.loop(ctx)
}

// awaitApplied waits for a barrier, and reports whether everything that former heads committed has been applied here.
func (r *runner) awaitApplied(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	return r.partition.confirm(ctx, 0) == nil
}

func (r *runner) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	lastReview := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
		}
		now := time.Now()
		if r.updateSchedule(now) {
			r.reviewJobs(ctx, now)
		}
		if now.Sub(lastReview) >= reviewInterval {
			lastReview = now
			r.cancelAttempts(ctx, now)
			r.reviewJobs(ctx, now)
		}
		r.dropClosedJobs(ctx, now)
		r.dispatch(ctx)
		timer.Reset(r.sleep(time.Now()))
	}
}

// Wake implements scheduler.Waiter: it makes the loop look for work. It does not block.
func (r *runner) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// sleep returns how long the loop may sleep if nothing wakes it.
func (r *runner) sleep(now time.Time) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.schedule.Len() == 0 && len(r.running) == 0 {
		return r.idleSleep(now)
	}
	until := r.schedule.NextChange(now, now.Add(reviewInterval))
	return max(until.Sub(now), minSleep)
}

// idleSleep returns how long the loop may sleep while there is nothing to run.
func (r *runner) idleSleep(now time.Time) time.Duration {
	kept := 0
	r.partition.state.read(func(m *batch.Machine) { kept = m.Jobs() })
	if kept == 0 {
		return maxSleep
	}
	return max(r.lastDrop.Add(dropInterval).Sub(now), minSleep)
}
