package store

import (
	"context"
	"sync"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/pause"
)

const (
	// watchInterval is how often a runner that has work looks at what may have grown too old.
	watchInterval = 500 * time.Millisecond
	// unprovenPause is the pause after a look that found no proof that items may be run.
	unprovenPause = 100 * time.Millisecond
	// longestSleep bounds the wait of an idle runner; what is to be done wakes it.
	longestSleep = time.Hour
)

// runner runs the items of a partition while this store is its head.
type runner struct {
	execution *Execution
	partition *partition
	appender  *appender
	wake      chan struct{}

	mutex   sync.Mutex
	jobs    map[batch.Key]*openJob
	queue   queue
	running map[*task]*attempt
	delayed []delayedTask
	paused  map[string]time.Time // by route: no item is sent before
	taken   []batch.Key          // jobs that are not in the queue yet
	reload  bool                 // the whole state was replaced
	idle    time.Time            // nothing is sent before: a proof was lacking
	cleaned time.Time            // when jobs that are no longer owed were looked for
}

// delayedTask waits for a time before it goes back to the queue.
type delayedTask struct {
	task *task
	due  time.Time
}

func newRunner(e *Execution, p *partition) *runner {
	return &runner{
		execution: e,
		partition: p,
		appender:  &appender{partition: p, log: e.Log},
		wake:      make(chan struct{}, 1),
		jobs:      map[batch.Key]*openJob{},
		running:   map[*task]*attempt{},
		paused:    map[string]time.Time{},
		reload:    true,
		cleaned:   time.Now(),
	}
}

// run works until ctx ends, which calls off all running items.
func (r *runner) run(ctx context.Context) {
	r.partition.state.listen(r)
	defer r.partition.state.listen(nil)
	for !r.load(ctx) {
		pause.For(ctx, unprovenPause)
		if ctx.Err() != nil {
			return
		}
	}
	defer r.leaveTurns()
	defer r.appender.close()
	r.loop(ctx)
}

// load makes sure that all that former heads committed has been applied.
func (r *runner) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	return r.partition.prove(ctx, 0) == nil
}

func (r *runner) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	watched := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
		}
		now := time.Now()
		if r.refresh(now) {
			r.review(ctx, now)
		}
		if now.Sub(watched) >= watchInterval {
			watched = now
			r.watch(ctx, now)
		}
		r.housekeeping(ctx, now)
		r.dispatch(ctx)
		timer.Reset(r.sleep(time.Now()))
	}
}

// poke has the loop look again.
func (r *runner) poke() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *runner) jobTaken(key batch.Key) {
	r.mutex.Lock()
	r.taken = append(r.taken, key)
	r.mutex.Unlock()
	r.poke()
}

func (r *runner) stateRestored() {
	r.mutex.Lock()
	r.reload = true
	r.mutex.Unlock()
	r.poke()
}

// jobEnded calls off what runs of a job and forgets the job.
func (r *runner) jobEnded(key batch.Key) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ended := r.jobs[key]
	if ended == nil {
		return
	}
	r.forget(ended)
	for t, a := range r.running {
		if t.job == ended {
			a.cancel(errEnded)
		}
	}
}

// forget takes a job out of all lists but that of running items.
func (r *runner) forget(j *openJob) {
	delete(r.jobs, j.open.Key)
	r.queue.remove(j)
	kept := r.delayed[:0]
	for _, d := range r.delayed {
		if d.task.job != j {
			kept = append(kept, d)
		}
	}
	r.delayed = kept
}

// refresh brings new jobs and items whose pause is over into the queue. It tells whether there are new jobs.
func (r *runner) refresh(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := len(r.jobs)
	if r.reload {
		r.reload = false
		r.taken = nil
		for _, open := range r.openJobs() {
			r.enter(open)
		}
	}
	for _, key := range r.taken {
		r.enterKey(key)
	}
	r.taken = nil
	r.release(now)
	return len(r.jobs) > known
}

func (r *runner) openJobs() (open []batch.Open) {
	r.partition.state.read(func(m *batch.Machine) { open = m.OpenJobs() })
	return open
}

func (r *runner) enterKey(key batch.Key) {
	var open batch.Open
	var ok bool
	r.partition.state.read(func(m *batch.Machine) { open, ok = m.OpenJob(key) })
	if ok {
		r.enter(open)
	}
}

func (r *runner) enter(open batch.Open) {
	if r.jobs[open.Key] != nil {
		return
	}
	entered := newOpenJob(open)
	r.jobs[open.Key] = entered
	r.queue.add(entered)
}

// release moves delayed items that are due to the queue.
func (r *runner) release(now time.Time) {
	kept := r.delayed[:0]
	for _, d := range r.delayed {
		if d.due.After(now) {
			kept = append(kept, d)
		} else {
			r.queue.push(d.task)
		}
	}
	r.delayed = kept
}

// sleep is how long the loop may rest if nothing wakes it.
func (r *runner) sleep(now time.Time) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.jobs) == 0 && len(r.running) == 0 {
		return r.idleSleep(now)
	}
	until := now.Add(watchInterval)
	for _, d := range r.delayed {
		until = earlier(until, d.due)
	}
	switch {
	case r.queue.ready == 0:
	case r.idle.After(now):
		until = earlier(until, r.idle)
	default:
		for _, paused := range r.paused {
			until = earlier(until, paused)
		}
	}
	return max(until.Sub(now), time.Millisecond)
}

func (r *runner) idleSleep(now time.Time) time.Duration {
	kept := 0
	r.partition.state.read(func(m *batch.Machine) { kept = m.Jobs() })
	if kept == 0 {
		return longestSleep
	}
	return max(r.cleaned.Add(housekeepingInterval).Sub(now), time.Millisecond)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
