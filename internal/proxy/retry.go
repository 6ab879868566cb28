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
	// maxRefusals is how many full backends may refuse one request. They have not run it, so they do not count against the
	// attempts of the route, which bound on how many backends a request runs; but each refusal costs time.
	maxRefusals = 2
	// maxMisses is how many backends may be unreachable, or other ones than expected, for one request.
	maxMisses = 3
	// minAttemptTime must be left for an attempt.
	minAttemptTime = 5 * time.Millisecond
	// retryLatencyFraction of the route's target latency must be left for an attempt after one that ran: an attempt that
	// cannot be answered in time would be useless load.
	retryLatencyFraction = 0.5
)

// checkRetry returns nil if the request may be sent (again), else the error to answer.
func (e *exchange) checkRetry(ctx context.Context) error {
	switch {
	case ctx.Err() != nil:
		return errClientLeft
	case e.executed >= e.maxExecutions():
		return e.exhaustedError()
	case time.Until(e.request.Deadline) < e.minTimeLeft():
		e.lastTimedOut = true
		return e.exhaustedError()
	case e.refusals >= maxRefusals, e.misses >= maxMisses:
		return e.exhaustedError()
	case !e.requiresProof:
		return nil
	}
	if err := e.proxy.checkProof(); err != nil {
		return e.errorUnlessExecuted(err)
	}
	return nil
}

// maxExecutions returns how many attempts may run.
func (e *exchange) maxExecutions() int {
	if !e.route.Repeatable() {
		return 1
	}
	return max(e.route.MaxAttempts, 1)
}

// minTimeLeft returns how much time must be left for the next attempt.
func (e *exchange) minTimeLeft() time.Duration {
	if e.executed == 0 {
		return minAttemptTime
	}
	return max(minAttemptTime, time.Duration(retryLatencyFraction*float64(e.route.TargetLatency)))
}

// recordFailure counts a failed attempt.
func (e *exchange) recordFailure(f *forward.Failure) {
	e.lastTimedOut = f.TimedOut
	switch {
	case f.Outcome == forward.NotSent, f.Status == http.StatusMisdirectedRequest:
		e.misses++
	case f.Outcome == forward.NotExecuted:
		e.refusals++
	default:
		e.executed++
	}
}

// refusalError returns the error of a request that admission refuses.
func (e *exchange) refusalError(r *admission.Refusal) error {
	overloaded := fault.New(fault.Overloaded, "no backend of %s takes more", e.service)
	return e.errorUnlessExecuted(&retryAfterError{error: overloaded, after: r.RetryAfter})
}

// exhaustedError returns the error of a request for which no further attempt is allowed.
func (e *exchange) exhaustedError() error {
	return e.errorUnlessExecuted(fault.New(fault.Overloaded, "no backend of %s has taken the request", e.service))
}

// errorUnlessExecuted returns an error which promises that the request has not run, unless it may have run: then one without
// that promise.
func (e *exchange) errorUnlessExecuted(notExecuted error) error {
	switch {
	case e.executed == 0:
		return notExecuted
	case e.lastTimedOut:
		return fault.New(fault.UpstreamTimeout, "no answer of %s in time", e.service)
	default:
		return fault.New(fault.UpstreamFailed, "the answer of %s broke off", e.service)
	}
}

// recordBreakOff ends an attempt whose answer broke off.
func (e *exchange) recordBreakOff(a *attempt, err error) {
	failure := failureOf(err)
	a.end(outcomeOf(failure))
	e.recordFailure(failure)
}

// failureOf returns an error of reading an answer as a failure.
func failureOf(err error) *forward.Failure {
	var failure *forward.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &forward.Failure{Outcome: forward.MayHaveRun, Err: err}
}

// outcomeOf returns what a failure says about the backend, for admission.
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
