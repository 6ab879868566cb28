package store

import (
	"context"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/batch"
	"nickelline/internal/configuration"
	"nickelline/internal/store/scheduler"
)

const (
	// dropInterval is how often the runner looks for closed jobs that need not be kept any longer, while it has any jobs.
	dropInterval = 5 * time.Second
	// retentionMargin is added to the time after which an item may be abandoned.
	retentionMargin = time.Second
)

// reviewJobs updates the urgency of all jobs, and abandons waiting items of jobs that are older than their retention.
func (r *runner) reviewJobs(ctx context.Context, now time.Time) {
	current, proven := r.config.configuration()
	if !proven {
		return
	}
	clock := r.partitionTime(now)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for j := range r.schedule.Jobs() {
		route := routeOf(current.Snapshot, &j.Pending)
		if route == nil {
			continue
		}
		age := clock - j.Pending.SubmittedAt
		j.Urgency = r.urgencyOf(route, j, age)
		retention := retentionOf(route, &j.Pending)
		if retention > 0 && age >= retention+retentionMargin {
			why := abandonment{reason: abandonedByAge, configuration: current, route: route}
			r.abandon(ctx, why, r.schedule.TakeWaiting(j)...)
		}
	}
}

// partitionTime returns the time of the partition's clock, which continues across changes of the head.
func (r *runner) partitionTime(now time.Time) (clock time.Duration) {
	reading := r.partition.clock.reading(now)
	r.partition.state.read(func(m *batch.Machine) { clock = m.Now(reading) })
	return clock
}

// urgencyOf returns the urgency of a job of the given age.
func (r *runner) urgencyOf(route *configuration.Route, j *scheduler.Job, age time.Duration) scheduler.Urgency {
	var queuedTokens int64
	if route.MaxQueuedTokens > 0 {
		queuedTokens = r.queuedTokens(j.Pending.Key.Tenant, j.Pending.Route.Name)
	}
	return scheduler.UrgencyOf(route, age, queuedTokens)
}

// queuedTokens returns the number of tokens that a tenant has queued on a route.
func (r *runner) queuedTokens(tenant, route string) (tokens int64) {
	r.partition.state.read(func(m *batch.Machine) { tokens = m.QueuedTokens(tenant, route) })
	return tokens
}

// dropClosedJobs drops the closed jobs that were submitted at least the status interval ago, by the partition's clock.
func (r *runner) dropClosedJobs(ctx context.Context, now time.Time) {
	if !r.isDropDue(now) {
		return
	}
	reading := r.partition.clock.reading(now)
	var expired []batch.Key
	r.partition.state.read(func(m *batch.Machine) { expired = m.Expired(reading, r.config.statusInterval) })
	if len(expired) == 0 {
		return
	}
	if _, err := r.partition.propose(ctx, &batch.Command{Drop: expired}); err != nil {
		r.config.log.Debug("drop closed jobs failed", zap.Uint32("partition", r.partition.number),
			zap.Int("jobs", len(expired)), zap.Error(err))
	}
}

// isDropDue reports whether the drop interval has passed, and begins the next one if it has.
func (r *runner) isDropDue(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now.Sub(r.lastDrop) < dropInterval {
		return false
	}
	r.lastDrop = now
	return true
}
