package store

import (
	"context"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/batch"
	"nickelline/internal/configuration"
	"nickelline/internal/store/scheduler"
)

// abandonReason is why items were abandoned.
type abandonReason string

const (
	// abandonedByRoute: the configuration has no route for the items' job any more.
	abandonedByRoute abandonReason = "route_ended"
	// abandonedByAge: the job is older than its retention.
	abandonedByAge abandonReason = "retention"
	// abandonedByServerErrors: backends have responded to the item with as many internal server errors as the job allows.
	abandonedByServerErrors abandonReason = "server_errors"
	// abandonedByRejection: a backend has responded that the item can never be processed.
	abandonedByRejection abandonReason = "rejected"
)

// abandonment is a decision to abandon items of one job, with what it rests on.
type abandonment struct {
	reason abandonReason
	// configuration is the one that the decision was made by.
	configuration *configuration.Current
	// route is the route of the job by that configuration, or nil if there is none.
	route *configuration.Route
	// backend is the id of the backend whose response led to the decision; empty if none did.
	backend string
}

// abandon lists items of one job as abandoned, without a text, and logs what that rests on. The caller holds the mutex.
func (r *runner) abandon(ctx context.Context, why abandonment, items ...*scheduler.Item) {
	if len(items) == 0 {
		return
	}
	job := items[0].Job
	r.config.abandoned.add(job.Pending.Route.Name, why.reason, len(items))
	r.logAbandonment(why, job, items)
	for _, item := range items {
		r.completeItem(ctx, item, batch.Result{State: batch.Abandoned})
	}
}

// logAbandonment logs that items of a job are abandoned, with the facts that the decision rests on.
func (r *runner) logAbandonment(why abandonment, job *scheduler.Job, items []*scheduler.Item) {
	identifiers := make([]string, len(items))
	serverErrors, unconfirmed := make([]int, len(items)), make([]int, len(items))
	for i, item := range items {
		identifiers[i] = item.Pending.Identifier
		serverErrors[i], unconfirmed[i] = item.ServerErrors(), item.Unconfirmed()
	}
	fields := []zap.Field{
		zap.String("reason", string(why.reason)),
		zap.String("job", job.Pending.Key.Identifier), zap.Strings("items", identifiers), zap.Ints("server_errors", serverErrors),
		zap.Ints("unconfirmed", unconfirmed),
		zap.Uint32("partition", r.partition.number), zap.Uint64("term", r.appender.term),
		zap.String("route", job.Pending.Route.Name), zap.Duration("age", r.partitionTime(time.Now())-job.Pending.SubmittedAt),
		zap.Uint64("configuration", why.configuration.Version), zap.Duration("proof_age", why.configuration.ProofAge()),
	}
	if why.route != nil {
		fields = append(fields, zap.Duration("retention", retentionOf(why.route, &job.Pending)),
			zap.Int("max_attempts", maxAttemptsOf(why.route, &job.Pending)))
	}
	if why.backend != "" {
		fields = append(fields, zap.String("backend", why.backend))
	}
	r.config.log.Info("items abandoned", fields...)
}
