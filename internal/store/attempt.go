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
	// attemptTimeout is how long one attempt may take in all; the next one continues what it has brought.
	attemptTimeout = 60 * time.Second
	// firstEventTimeout and nextEventTimeout are how long a backend may send nothing before its first event and between events.
	firstEventTimeout = 6 * time.Second
	nextEventTimeout  = 4 * time.Second
)

// Reasons for which an attempt is cancelled.
var (
	errJobEnded     = errors.New("the job was ended")
	errNotHead      = errors.New("this store may no longer be the head of the partition")
	errUnresponsive = errors.New("the backend is unresponsive")
)

// attempt is one run of an item at one backend.
type attempt struct {
	runner  *runner
	item    *scheduler.Item
	route   *configuration.Route
	backend discovery.Backend
	permit  Permit
	began   time.Time

	ctx           context.Context // of the attempt: ended by cancel, or with runnerContext
	cancel        context.CancelCauseFunc
	runnerContext context.Context // of the runner: what the attempt has brought is appended under it

	// Of the goroutine of the attempt.
	checkpointed time.Time // when the last checkpoint was taken, or the first event came

	// Shared with the loop of the runner.
	lastEvent  atomic.Int64 // when the last event came, as a duration since began
	hasStarted atomic.Bool  // an event has come
}

func newAttempt(
	ctx context.Context,
	r *runner,
	item *scheduler.Item,
	route *configuration.Route,
	backend discovery.Backend,
	permit Permit,
) *attempt {
	a := &attempt{
		runner:        r,
		item:          item,
		route:         route,
		backend:       backend,
		permit:        permit,
		began:         time.Now(),
		runnerContext: ctx,
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a
}

// isUnresponsive reports whether the backend has sent nothing for too long.
func (a *attempt) isUnresponsive(now time.Time) bool {
	limit := firstEventTimeout
	if a.hasStarted.Load() {
		limit = nextEventTimeout
	}
	return now.Sub(a.began)-time.Duration(a.lastEvent.Load()) > limit
}

// run makes the attempt, gives the permit back, and hands the item back to the runner.
func (a *attempt) run() {
	result := a.perform()
	a.cancel(nil)
	a.permit.Done(time.Now(), result.outcome, result.load)
	a.runner.attemptEnded(a, result)
}

// perform sends the item and judges the response by its status.
func (a *attempt) perform() attemptResult {
	response, failure := a.runner.config.sender.Do(a.ctx, a.backend, a.request())
	if failure != nil {
		return a.failed(failure)
	}
	defer response.Close()
	switch {
	case response.Status == http.StatusOK && response.Streaming:
		return a.readStream(response)
	case response.Status == http.StatusUnprocessableEntity:
		return a.rejected(response)
	case response.Status == http.StatusInternalServerError:
		return a.serverError(response)
	}
	return a.retryAfterAnswer(response)
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
		Host:        a.item.Job.Pending.Host,
		Header:      header,
		Body:        item.Body,
		AttemptID:   item.Identifier,
		Tenant:      a.item.Job.Pending.Key.Tenant,
		LastEventID: a.item.Text.ResumeAfter(),
		Deadline:    a.began.Add(attemptTimeout),
	}
}

// attemptEnded takes back an item whose attempt is over, and offers the capacity at its backend to the runners that wait.
func (r *runner) attemptEnded(a *attempt, result attemptResult) {
	r.takeBack(a, result)
	r.config.retryQueue.Offer(a.item.Job.Pending.Route)
}

// takeBack frees the attempt's slot, and completes or delays its item if the job still has to be run.
func (r *runner) takeBack(a *attempt, result attemptResult) {
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
		r.abandonItem(a.runnerContext, a.item)
	case stepRetry:
		r.schedule.DelayItem(a.item, time.Now().Add(result.backoff))
	}
}
