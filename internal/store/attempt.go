package store

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/configuration"
	"nickelline/internal/discovery"
	"nickelline/internal/forward"
	"nickelline/internal/store/scheduler"
)

const (
	// attemptTimeout bounds the whole of one attempt; the next attempt continues the text that it has produced.
	attemptTimeout = 60 * time.Second
	// firstEventTimeout and nextEventTimeout bound the time without events before the first event and between events.
	firstEventTimeout = 6 * time.Second
	nextEventTimeout  = 4 * time.Second
)

// Causes of the cancellation of an attempt.
var (
	errJobEnded     = errors.New("the job was ended")
	errNotHead      = errors.New("this store may no longer be the head of the partition")
	errUnresponsive = errors.New("the backend is unresponsive")
)

// attempt is one execution of an item at one backend.
type attempt struct {
	runner        *runner
	item          *scheduler.Item
	configuration *configuration.Current // by which the item is sent
	route         *configuration.Route
	backend       discovery.Backend
	permit        Permit
	startTime     time.Time

	ctx           context.Context // of the attempt: ended by cancel, or with runnerContext
	cancel        context.CancelCauseFunc
	runnerContext context.Context // of the runner: results and checkpoints are appended under it

	// Used by the goroutine of the attempt only.
	lastCheckpoint time.Time // when the last checkpoint was taken, or before that when the first event arrived

	// Shared with the loop of the runner, which detects unresponsive backends.
	lastEventOffset atomic.Int64 // when the last event arrived, as a duration since startTime
	hasFirstEvent   atomic.Bool  // an event has arrived
}

func newAttempt(
	ctx context.Context,
	r *runner,
	item *scheduler.Item,
	current *configuration.Current,
	route *configuration.Route,
	backend discovery.Backend,
	permit Permit,
) *attempt {
	a := &attempt{
		runner:        r,
		item:          item,
		configuration: current,
		route:         route,
		backend:       backend,
		permit:        permit,
		startTime:     time.Now(),
		runnerContext: ctx,
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a
}

// isUnresponsive reports whether the backend has sent nothing for too long.
func (a *attempt) isUnresponsive(now time.Time) bool {
	limit := firstEventTimeout
	if a.hasFirstEvent.Load() {
		limit = nextEventTimeout
	}
	return now.Sub(a.startTime)-time.Duration(a.lastEventOffset.Load()) > limit
}

// run executes the attempt, gives the permit back, and returns the item to the runner: an item that has failed only once the failure
// is recorded, so that the loss of a head loses the count of at most one failure of each item.
func (a *attempt) run() {
	result := a.perform()
	a.cancel(nil)
	a.permit.Done(time.Now(), result.outcome, result.load)
	a.runner.attemptEnded(a, result)
	if result.serverErrors > 0 && a.recordFailure(result.serverErrors) {
		a.runner.retryItem(a.item, result.backoff)
	}
}

// recordFailure waits until the number of the item's failures is recorded, and reports whether it is.
func (a *attempt) recordFailure(serverErrors int) bool {
	return a.runner.appender.recordFailure(a.runnerContext, batch.Failure{
		Key:          a.item.Job.Pending.Key,
		Index:        a.item.Pending.Index,
		ServerErrors: uint32(serverErrors),
	})
}

// perform sends the item and handles the response according to its status.
func (a *attempt) perform() attemptResult {
	response, failure := a.runner.config.sender.Do(a.ctx, a.backend, a.request())
	if failure != nil {
		return a.failed(failure)
	}
	defer response.Close()
	switch {
	case response.Status == http.StatusOK && response.Streaming && !isSealed(response):
		return a.failed(&forward.Failure{Outcome: forward.MayHaveRun, Load: response.Load})
	case response.Status == http.StatusOK && response.Streaming:
		return a.readStream(response)
	case response.Status == http.StatusUnprocessableEntity:
		return a.rejected(response)
	case response.Status == http.StatusInternalServerError:
		return a.serverError(response)
	}
	return a.retryAfterResponse(response)
}

func (a *attempt) request() *forward.Request {
	item := &a.item.Pending
	header := make(http.Header, len(item.Headers))
	for _, h := range item.Headers {
		header.Add(h.Name, h.Value)
	}
	return &forward.Request{
		Method:      http.MethodPost,
		Target:      item.Path,
		Host:        a.item.Job.Pending.Route.Host,
		Header:      header,
		Body:        item.Body,
		AttemptID:   item.Identifier,
		Tenant:      a.item.Job.Pending.Key.Tenant,
		LastEventID: a.item.Text.ResumeAfter(),
		Deadline:    a.startTime.Add(attemptTimeout),
	}
}

// attemptEnded takes back an item whose attempt has ended, and offers the capacity that it frees to the waiting runners.
func (r *runner) attemptEnded(a *attempt, result attemptResult) {
	r.finishAttempt(a, result)
	r.config.retryQueue.Offer(a.item.Job.Pending.Route.Name)
}

// finishAttempt frees the attempt's slot, and completes, abandons or delays its item if the job is still in the schedule. An item whose
// failure has to be recorded first is delayed by retryItem.
func (r *runner) finishAttempt(a *attempt, result attemptResult) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.config.slots.Release()
	delete(r.running, a.item)
	r.partition.running.Add(-1)
	defer r.Wake()
	if !r.schedule.Contains(a.item.Job) {
		return
	}
	switch result.next {
	case stepComplete:
		r.completeItem(a.runnerContext, a.item, batch.Result{
			State:   batch.Completed,
			Content: result.content,
			From:    result.checkpointEvents,
		})
	case stepAbandon:
		r.abandon(a.runnerContext, a.abandonment(result.reason), a.item)
	case stepRetry:
		if result.serverErrors == 0 {
			r.schedule.DelayItem(a.item, time.Now().Add(result.backoff))
		}
	}
}

// abandonment returns the decision to abandon the item after a response of the attempt's backend.
func (a *attempt) abandonment(reason abandonReason) abandonment {
	return abandonment{reason: reason, configuration: a.configuration, route: a.route, backend: a.backend.ID}
}

// retryItem delays an item whose failure is recorded, if its job is still in the schedule.
func (r *runner) retryItem(item *scheduler.Item, backoff time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	defer r.Wake()
	if r.schedule.Contains(item.Job) {
		r.schedule.DelayItem(item, time.Now().Add(backoff))
	}
}
