package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"nickelline/internal/admission"
	"nickelline/internal/fault"
	"nickelline/internal/forward"
	"nickelline/internal/upstream"
)

const (
	// maxRefusals is how many full backends may refuse one request. The route's maximum number of attempts does not limit
	// refusals, because it only bounds how many backends execute a request. Each refusal costs time, however.
	maxRefusals = 2
	// maxUnreachable is how many attempts per request may find a backend unreachable, or another instance at its address.
	maxUnreachable = 3
	// minAttemptTime is the minimum time until the deadline that an attempt needs.
	minAttemptTime = 5 * time.Millisecond
	// retryLatencyFraction is the fraction of the route's target latency that must remain until the deadline for a retry
	// of a request that may have been executed: a retry that cannot complete in time would be useless load.
	retryLatencyFraction = 0.5
)

// checkRetry returns nil if the request may be sent, for the first time or again, and otherwise the error for the client.
func (e *exchange) checkRetry(ctx context.Context) error {
	switch {
	case ctx.Err() != nil:
		return errClientDisconnected
	case e.executed >= e.maxExecutions():
		return e.exhaustedError()
	case time.Until(e.request.Deadline) < e.minTimeLeft():
		e.lastTimedOut = true
		return e.exhaustedError()
	case e.refusals >= maxRefusals, e.unreachable >= maxUnreachable:
		return e.exhaustedError()
	}
	if err := e.authorize(); err != nil {
		return e.errorUnlessExecuted(err)
	}
	return nil
}

// authorize fails unless the API key of the request still belongs to its tenant, by the configuration that is in force now and
// is proved to be current. The configuration may have been replaced since the request was routed, and the proof of the newer
// one says nothing about the keys of the former one.
func (e *exchange) authorize() error {
	if e.tenant == nil {
		return nil
	}
	current, err := e.proxy.configuration()
	if err != nil {
		return err
	}
	tenant, err := e.proxy.authenticate(current, e.key)
	if err != nil {
		return err
	}
	if tenant.Name != e.tenant.Name {
		return fault.New(fault.Unauthorized, "API key belongs to another tenant now")
	}
	return nil
}

// maxExecutions returns how many attempts may be executed.
func (e *exchange) maxExecutions() int {
	if !e.route.Repeatable() {
		return 1
	}
	return max(e.route.MaxAttempts, 1)
}

// minTimeLeft returns how much time must remain until the deadline for the next attempt.
func (e *exchange) minTimeLeft() time.Duration {
	if e.executed == 0 {
		return minAttemptTime
	}
	return max(minAttemptTime, time.Duration(retryLatencyFraction*float64(e.route.TargetLatency)))
}

// recordFailure counts a failed attempt by whether it reached the backend and may have been executed.
func (e *exchange) recordFailure(f *forward.Failure) {
	e.lastTimedOut = f.TimedOut
	switch {
	case f.Outcome == forward.NotSent, f.Status == http.StatusMisdirectedRequest:
		e.unreachable++
	case f.Outcome == forward.NotExecuted:
		e.refusals++
	default:
		e.recordExecution()
	}
}

// recordExecution counts an attempt that was or may have been executed.
func (e *exchange) recordExecution() {
	e.proxy.counters.recordExecution(e.executed)
	e.executed++
}

// refusalError returns the error for a request that admission refuses.
func (e *exchange) refusalError(r *admission.Refusal) error {
	overloaded := fault.New(fault.Overloaded, "no backend of service %s has free capacity", e.service)
	return e.errorUnlessExecuted(&retryAfterError{error: overloaded, after: r.RetryAfter})
}

// exhaustedError returns the error for a request for which no further attempt is allowed.
func (e *exchange) exhaustedError() error {
	return e.errorUnlessExecuted(fault.New(fault.Overloaded, "no backend of service %s accepted the request", e.service))
}

// errorUnlessExecuted returns notExecuted, an error which promises that the request was not executed. If the request may
// have been executed, it returns an error without that promise.
func (e *exchange) errorUnlessExecuted(notExecuted error) error {
	switch {
	case e.executed == 0:
		return notExecuted
	case e.lastTimedOut:
		return fault.New(fault.UpstreamTimeout, "no response from service %s before the deadline", e.service)
	default:
		return fault.New(fault.UpstreamFailed, "no complete response from service %s", e.service)
	}
}

// recordInterruption ends an attempt whose response was interrupted.
func (e *exchange) recordInterruption(a *attempt, err error) {
	failure := failureOf(err)
	a.end(outcomeOf(failure))
	e.recordFailure(failure)
}

// failureOf converts an error of reading a response to a failure. An error that is not a *forward.Failure means that the
// request may have been executed.
func failureOf(err error) *forward.Failure {
	var failure *forward.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &forward.Failure{Outcome: forward.MayHaveRun, Err: err}
}

// outcomeOf returns the outcome that admission records for an attempt with a failure.
func outcomeOf(f *forward.Failure) admission.Outcome {
	switch {
	case f.Cancelled, errors.Is(f.Err, upstream.ErrTooManyConnections), errors.Is(f.Err, upstream.ErrClosed):
		return admission.Cancelled
	case f.Outcome == forward.NotExecuted && f.Status != http.StatusMisdirectedRequest:
		return admission.Full
	case f.TimedOut:
		return admission.TimedOut
	}
	return admission.Failed
}
