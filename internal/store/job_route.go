package store

import (
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/configuration"
)

// routeOf returns the route of a job: the one that has the name under which the job was accepted, wherever that route is now, and
// whatever its kind. If there is none of that name, it is the batch route that has the same host and prefix, because a route can be
// renamed. It is nil if the route has ended. The paths of the items do not matter: by them, an item could belong to another route.
func routeOf(snapshot *configuration.Snapshot, job *batch.PendingJob) *configuration.Route {
	if named := snapshot.RouteByName(job.Route.Name); named != nil {
		return named
	}
	renamed := snapshot.RouteAt(job.Route.Host, job.Route.Prefix)
	if renamed == nil || renamed.Kind != configuration.Batch {
		return nil
	}
	return renamed
}

// retentionOf returns the age from which on waiting items of a job are abandoned, 0 for never: the retention that the job was accepted
// with, or that of its route today if that is longer. A route that is no batch route any more says nothing.
func retentionOf(route *configuration.Route, job *batch.PendingJob) time.Duration {
	if route.Kind == configuration.Batch && route.Retention == 0 {
		return 0
	}
	return max(route.Retention, job.Terms.Retention)
}

// maxAttemptsOf returns after how many failures an item of a job is abandoned: as many as the job was accepted with, or as its route
// allows today if that are more.
func maxAttemptsOf(route *configuration.Route, job *batch.PendingJob) int {
	return max(route.MaxAttempts, job.Terms.MaxAttempts)
}

// mayPredate reports whether the configuration may be older than the one under which a job was accepted. It is not if it has been
// proven to be the newest one since the job was accepted.
func (r *runner) mayPredate(current *configuration.Current, job *batch.PendingJob, now time.Time) bool {
	return current.ProofAge() >= r.partitionTime(now)-job.SubmittedAt
}
