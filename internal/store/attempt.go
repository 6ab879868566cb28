package store

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"nickelline/internal/admission"
	"nickelline/internal/batch"
	"nickelline/internal/batch/deflated"
	"nickelline/internal/configuration"
	"nickelline/internal/discovery"
	"nickelline/internal/forward"
)

const (
	// attemptTimeout is how long one attempt may take in all; what is lost then is continued by the next.
	attemptTimeout = 60 * time.Second
	// firstEventSilence and eventSilence are how long a backend may be silent before its first event and between events.
	firstEventSilence = 6 * time.Second
	eventSilence      = 4 * time.Second
	// The pause before an item is tried again grows from leastBackoff to mostBackoff while attempts bring nothing.
	leastBackoff = 30 * time.Millisecond
	mostBackoff  = time.Second
)

// Reasons for which an attempt is called off.
var (
	errEnded   = errors.New("the job was ended")
	errNotHead = errors.New("this store may no longer be the head of the partition")
	errSilent  = errors.New("the backend is silent")
)

// next is what is to be done with an item after an attempt.
type next uint8

const (
	// tryAgain: the item is not done.
	tryAgain next = iota
	// complete: the item's text is whole.
	complete
	// giveUp: the item can never be done, or has failed too often.
	giveUp
)

// verdict is how an attempt ended, for the item and for the backend.
type verdict struct {
	next    next
	content []byte        // the text of a complete item behind its checkpoints, compressed
	from    uint32        // events that the checkpoints hold
	pause   time.Duration // before the next try
	outcome admission.Outcome
	load    *admission.Load
}

// attempt is one run of an item at one backend.
type attempt struct {
	runner   *runner
	task     *task
	route    *configuration.Route
	backend  discovery.Backend
	permit   Permit
	cancel   context.CancelCauseFunc
	ctx      context.Context
	started  bool
	home     context.Context // of the runner
	kept     time.Time       // when the last checkpoint was made, or the first event came
	progress atomic.Int64    // when the last event came, by the time since began
	streams  atomic.Bool     // an event has come
	began    time.Time
}

func newAttempt(ctx context.Context, r *runner, t *task, route *configuration.Route, backend discovery.Backend, permit Permit) *attempt {
	a := &attempt{runner: r, task: t, route: route, backend: backend, permit: permit, began: time.Now(), home: ctx}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a
}

// silent tells whether the backend has sent nothing for too long.
func (a *attempt) silent(now time.Time) bool {
	limit := firstEventSilence
	if a.streams.Load() {
		limit = eventSilence
	}
	return now.Sub(a.began)-time.Duration(a.progress.Load()) > limit
}

// run makes the attempt, which ends early with the runner's context.
func (a *attempt) run(ctx context.Context) {
	v := a.perform()
	a.cancel(nil)
	a.permit.Done(time.Now(), v.outcome, v.load)
	a.runner.ended(ctx, a, v)
}

func (a *attempt) perform() verdict {
	response, failure := a.runner.execution.Sender.Do(a.ctx, a.backend, a.request())
	if failure != nil {
		return a.failed(failure)
	}
	defer response.Close()
	switch {
	case response.Status == http.StatusOK && response.Streaming:
		return a.collect(response)
	case response.Status == http.StatusUnprocessableEntity:
		return a.answered(response, giveUp)
	case response.Status == http.StatusInternalServerError:
		return a.answered(response, a.countFailure())
	}
	return a.answered(response, tryAgain)
}

func (a *attempt) request() *forward.Request {
	t := a.task
	header := make(http.Header, len(t.item.Headers))
	for _, h := range t.item.Headers {
		header.Add(h.Name, h.Value)
	}
	return &forward.Request{
		Method:      http.MethodPost,
		Target:      t.item.Path,
		Host:        t.job.open.Host,
		Header:      header,
		Body:        t.item.Body,
		AttemptID:   t.item.Identifier,
		Tenant:      t.job.open.Key.Tenant,
		LastEventID: t.text.resume(),
		Deadline:    a.began.Add(attemptTimeout),
	}
}

// failed judges an attempt that brought no answer.
func (a *attempt) failed(f *forward.Failure) verdict {
	v := verdict{next: tryAgain, outcome: admission.Failed, load: f.Load}
	switch {
	case context.Cause(a.ctx) == errSilent:
		v.outcome = admission.TimedOut
	case f.Cancelled:
		v.outcome = admission.Cancelled
	case f.TimedOut:
		v.outcome = admission.TimedOut
	case f.Outcome == forward.NotExecuted && f.Status != http.StatusMisdirectedRequest:
		v.outcome = admission.Full
	}
	v.pause = a.backOff()
	return v
}

// backOff is the pause after an attempt that brought nothing.
func (a *attempt) backOff() time.Duration {
	a.task.avoid = a.backend.ID
	limit := min(leastBackoff<<min(a.task.breaks, 10), mostBackoff)
	a.task.breaks++
	return limit/2 + rand.N(limit/2)
}

// countFailure counts an answer of 500.
func (a *attempt) countFailure() next {
	a.task.failures++
	if a.task.failures >= max(a.route.MaxAttempts, 1) {
		return giveUp
	}
	return tryAgain
}

// answered judges an answer that is no stream of events.
func (a *attempt) answered(response *forward.Response, n next) verdict {
	v := verdict{next: n, outcome: admission.OK, load: response.Load}
	if n == tryAgain {
		v.pause = a.backOff()
	}
	if response.Streaming {
		return v
	}
	if _, err := response.ReadAll(); err != nil {
		v.outcome = admission.Failed
	}
	return v
}

// collect gathers the events of a stream to its end, reading in the pacer's rhythm.
func (a *attempt) collect(response *forward.Response) verdict {
	for {
		event, err := response.Next()
		switch {
		case err == io.EOF:
			return a.whole(response)
		case err != nil:
			return a.broken(err, response)
		case !a.task.text.add(&event):
			return a.failed(&forward.Failure{Outcome: forward.MayHaveRun, Load: response.Load})
		}
		now := time.Now()
		a.note(now)
		a.checkpoint(now)
		if !response.Ready() {
			a.runner.execution.Pacer.wait(a.ctx)
		}
	}
}

// note marks that an event has come.
func (a *attempt) note(now time.Time) {
	a.progress.Store(int64(now.Sub(a.began)))
	a.task.breaks = 0
	if !a.started {
		a.started = true
		a.kept = now
		a.streams.Store(true)
		a.permit.Started(now)
		a.runner.execution.Turns.offer(a.task.job.open.Route)
	}
}

// checkpoint has the text kept that has come since the last one, from time to time, so that another head continues there.
func (a *attempt) checkpoint(now time.Time) {
	if now.Sub(a.kept) < a.runner.execution.CheckpointInterval {
		return
	}
	a.kept = now
	t := a.task
	content, from, ok := t.text.cut()
	if !ok {
		return
	}
	a.runner.appender.add(a.home, batch.Result{
		Key:       t.job.open.Key,
		Index:     t.item.Index,
		Content:   deflated.Compress(content),
		From:      from,
		Events:    t.text.events,
		LastEvent: t.text.lastID,
	})
}

// whole judges a stream that ended properly. One that brought no event at all has brought no text.
func (a *attempt) whole(response *forward.Response) verdict {
	if a.task.text.events == 0 {
		return a.failed(&forward.Failure{Outcome: forward.MayHaveRun, Load: response.Load})
	}
	content := deflated.Compress(a.task.text.content)
	return verdict{next: complete, content: content, from: a.task.text.kept, outcome: admission.OK, load: response.Load}
}

// broken judges a stream that broke off.
func (a *attempt) broken(err error, response *forward.Response) verdict {
	var failure *forward.Failure
	if !errors.As(err, &failure) {
		failure = &forward.Failure{Outcome: forward.MayHaveRun, Err: err}
	}
	if failure.Load == nil {
		failure.Load = response.Load
	}
	return a.failed(failure)
}
