package store

import (
	"context"
	"errors"
	"net/http"
	"time"

	"nickelline/internal/admission"
	"nickelline/internal/batch/deflated"
	"nickelline/internal/forward"
)

// nextStep is what happens to an item after an attempt.
type nextStep uint8

const (
	// stepRetry: the item is not finished and is tried again.
	stepRetry nextStep = iota
	// stepComplete: the item's text is complete.
	stepComplete
	// stepAbandon: the item cannot be processed at all, or has failed too often.
	stepAbandon
)

// attemptResult describes how an attempt ended, for the item and for the backend.
type attemptResult struct {
	next             nextStep
	content          []byte        // of a completed item: the text after its checkpoints, compressed
	checkpointEvents uint32        // of a completed item: number of events in its checkpoints
	backoff          time.Duration // of an item that is retried: before the next attempt
	outcome          admission.Outcome
	load             *admission.Load // reported by the backend, or nil
	reason           abandonReason   // of an item that is abandoned
	serverErrors     int             // of an item that is retried after an internal server error: how many it has had
}

// failed returns the result of an attempt that got no response, or whose stream failed.
func (a *attempt) failed(f *forward.Failure) attemptResult {
	return attemptResult{
		next:    stepRetry,
		outcome: a.outcomeOf(f),
		load:    f.Load,
		backoff: a.item.Backoff(a.backend.ID),
	}
}

// outcomeOf returns the outcome that is reported to admission for a failure.
func (a *attempt) outcomeOf(f *forward.Failure) admission.Outcome {
	switch {
	case errors.Is(context.Cause(a.ctx), errUnresponsive):
		return admission.TimedOut
	case f.Cancelled:
		return admission.Cancelled
	case f.TimedOut:
		return admission.TimedOut
	case f.Outcome == forward.NotExecuted && f.Status != http.StatusMisdirectedRequest:
		return admission.Full
	}
	return admission.Failed
}

// rejected returns the result of a response by which the backend rejects the item for good.
func (a *attempt) rejected(response *forward.Response) attemptResult {
	result, confirmed := a.resultOf(response)
	a.item.CountRejection(confirmed)
	if a.item.IsRejected() {
		return result.abandon(abandonedByRejection)
	}
	return result
}

// serverError returns the result of an internal server error. The item is abandoned when it has had as many as its job allows.
func (a *attempt) serverError(response *forward.Response) attemptResult {
	result, confirmed := a.resultOf(response)
	a.item.CountServerError(confirmed)
	if !a.item.MayRun(maxAttemptsOf(a.route, &a.item.Job.Pending)) {
		return result.abandon(abandonedByServerErrors)
	}
	if confirmed {
		result.serverErrors = a.item.ServerErrors()
	}
	return result
}

// retryAfterResponse returns the result of a response that is not an event stream, and after which the item is tried again.
func (a *attempt) retryAfterResponse(response *forward.Response) attemptResult {
	result, _ := a.resultOf(response)
	return result
}

// abandon returns the result for an item that is abandoned after the response.
func (r attemptResult) abandon(reason abandonReason) attemptResult {
	r.next, r.reason, r.backoff = stepAbandon, reason, 0
	return r
}

// resultOf returns the result of a response whose events are not read, for an item that is tried again. It reads the body unless that
// is a stream, so that the connection can be reused. confirmed reports that the response is whole and carries the backend's seal:
// any other one may not be what the backend had to say.
func (a *attempt) resultOf(response *forward.Response) (result attemptResult, confirmed bool) {
	result = attemptResult{next: stepRetry, outcome: admission.OK, load: response.Load, backoff: a.item.Backoff(a.backend.ID)}
	confirmed = isSealed(response)
	if response.Streaming {
		return result, false
	}
	if _, err := response.ReadAll(); err != nil {
		result.outcome = admission.Failed
		confirmed = false
	}
	return result, confirmed
}

// isSealed reports whether a response carries the seal of its backend.
func isSealed(response *forward.Response) bool {
	return response.Header.Get(forward.HeaderResponseSeal) != ""
}

// streamEnded returns the result of a stream that ended properly. If the text has no event at all, the attempt has failed.
func (a *attempt) streamEnded(response *forward.Response) attemptResult {
	if a.item.Text.Events() == 0 {
		return a.failed(&forward.Failure{Outcome: forward.MayHaveRun, Load: response.Load})
	}
	content, checkpointEvents := a.item.Text.Tail()
	return attemptResult{
		next:             stepComplete,
		content:          deflated.Compress(content),
		checkpointEvents: checkpointEvents,
		outcome:          admission.OK,
		load:             response.Load,
	}
}

// streamFailed returns the result of a stream that could not be read to its end.
func (a *attempt) streamFailed(err error, response *forward.Response) attemptResult {
	var failure *forward.Failure
	if !errors.As(err, &failure) {
		failure = &forward.Failure{Outcome: forward.MayHaveRun, Err: err}
	}
	if failure.Load == nil {
		failure.Load = response.Load
	}
	return a.failed(failure)
}
