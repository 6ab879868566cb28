package store

import (
	"context"
	"nickelline/internal/batch"
	"nickelline/internal/configuration"
	"time"

	"go.uber.org/zap"
)

const (
	// housekeepingInterval is how often jobs that are no longer owed are looked for, while any jobs are kept.
	housekeepingInterval = 5 * time.Second
	// retentionMargin is kept on top of the time after which an item may be given up.
	retentionMargin = time.Second
)

// watch calls off silent attempts, or all if this store may no longer be the head, and gives up items that are too old.
func (r *runner) watch(ctx context.Context, now time.Time) {
	r.keepProof(ctx)
	lost := !r.partition.proof.within(r.execution.LostBound)
	r.mutex.Lock()
	for _, a := range r.running {
		switch {
		case lost:
			a.cancel(errNotHead)
		case a.silent(now):
			a.cancel(errSilent)
		}
	}
	r.mutex.Unlock()
	r.review(ctx, now)
}

// keepProof renews the proof that this store is the head if commits have not done so lately.
func (r *runner) keepProof(ctx context.Context) {
	r.mutex.Lock()
	busy := len(r.running) > 0
	r.mutex.Unlock()
	if !busy {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.execution.ProofBound)
	defer cancel()
	if err := r.partition.prove(ctx, r.execution.ProofBound); err != nil {
		r.execution.Log.Debug("no proof of being head", zap.Uint32("partition", r.partition.number), zap.Error(err))
	}
}

// review renews the urgency of all jobs, and abandons waiting items of jobs that are older than their route keeps them.
func (r *runner) review(ctx context.Context, now time.Time) {
	snapshot, current := r.execution.Configuration()
	if !current {
		return
	}
	clock := r.now(now)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, j := range r.jobs {
		route := snapshot.RouteByName(j.open.Route)
		if route == nil {
			continue
		}
		age := clock - j.open.Born
		j.urgency = r.urgencyOf(route, j, age)
		if route.Retention > 0 && age >= route.Retention+retentionMargin {
			r.abandonWaiting(ctx, j)
		}
	}
}

// urgencyOf ranks a job of some age.
func (r *runner) urgencyOf(route *configuration.Route, j *openJob, age time.Duration) urgency {
	var u urgency
	if route.CompletionTarget > 0 {
		u.late = age >= route.CompletionTarget
		u.pressure = age.Seconds() / route.CompletionTarget.Seconds()
	}
	if route.MaxQueuedTokens > 0 {
		waiting := r.queuedTokens(j.open.Key.Tenant, j.open.Route)
		u.pressure = max(u.pressure, float64(waiting)/float64(route.MaxQueuedTokens))
	}
	return u
}

// queuedTokens is how many tokens a tenant has waiting on a route.
func (r *runner) queuedTokens(tenant, route string) (tokens int64) {
	r.partition.state.read(func(m *batch.Machine) { tokens = m.QueuedTokens(tenant, route) })
	return tokens
}

// now is the partition's clock.
func (r *runner) now(now time.Time) (clock time.Duration) {
	reading := r.partition.clock.reading(now)
	r.partition.state.read(func(m *batch.Machine) { clock = m.Now(reading) })
	return clock
}

func (r *runner) abandonWaiting(ctx context.Context, j *openJob) {
	r.queue.ready -= len(j.ready)
	waiting := j.ready
	j.ready = nil
	kept := r.delayed[:0]
	for _, d := range r.delayed {
		if d.task.job == j {
			waiting = append(waiting, d.task)
		} else {
			kept = append(kept, d)
		}
	}
	r.delayed = kept
	for _, t := range waiting {
		r.finish(ctx, t, batch.Result{State: batch.Abandoned})
	}
}

// finish hands an item's result to the appender. The mutex is held.
func (r *runner) finish(ctx context.Context, t *task, result batch.Result) {
	result.Key = t.job.open.Key
	result.Index = t.item.Index
	r.appender.add(ctx, result)
	t.job.left--
	if t.job.left == 0 && r.jobs[t.job.open.Key] == t.job {
		r.forget(t.job)
	}
}

// housekeeping drops jobs that are no longer owed.
func (r *runner) housekeeping(ctx context.Context, now time.Time) {
	if now.Sub(r.cleaned) < housekeepingInterval {
		return
	}
	r.cleaned = now
	reading := r.partition.clock.reading(now)
	var overdue []batch.Key
	r.partition.state.read(func(m *batch.Machine) { overdue = m.Overdue(reading, r.execution.StatusInterval) })
	if len(overdue) == 0 {
		return
	}
	if _, err := r.partition.propose(ctx, &batch.Command{Drop: overdue}); err != nil {
		r.execution.Log.Debug("drop jobs", zap.Int("jobs", len(overdue)), zap.Error(err))
	}
}
