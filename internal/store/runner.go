package store

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

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
// goroutine while there are results to append, and startClock runs on its own; run waits for the end of both.
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
	var clockStarted sync.WaitGroup
	defer clockStarted.Wait()
	clockStarted.Go(func() { r.startClock(ctx) })
	r.loop(ctx)
}

// startClock commits a command that only advances the clock, if there are any jobs. The partition's clock counts the time since the
// last command of the same head: without one of this head, jobs of former heads would not grow older until something is committed.
func (r *runner) startClock(ctx context.Context) {
	if r.keptJobs() == 0 {
		return
	}
	for ctx.Err() == nil {
		_, err := r.partition.proposeInTerm(ctx, r.appender.term, &batch.Command{})
		if err == nil {
			return
		}
		r.config.log.Debug("start clock failed", zap.Uint32("partition", r.partition.number), zap.Error(err))
		pause.For(ctx, appendRetryPause)
	}
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
	if r.keptJobs() == 0 {
		return maxSleep
	}
	return max(r.lastDrop.Add(dropInterval).Sub(now), minSleep)
}

// keptJobs returns the number of jobs that have not been dropped.
func (r *runner) keptJobs() (kept int) {
	r.partition.state.read(func(m *batch.Machine) { kept = m.Jobs() })
	return kept
}
