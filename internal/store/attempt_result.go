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

// nextStep is what is done with an item after an attempt.
type nextStep uint8

const (
	// stepRetry: the item is not done.
	stepRetry nextStep = iota
	// stepComplete: the item's text is whole.
	stepComplete
	// stepAbandon: the item can never be done, or has failed too often.
	stepAbandon
)

// attemptResult is how an attempt ended, for the item and for the backend.
type attemptResult struct {
	next             nextStep
	content          []byte        // of a completed item: the text behind its checkpoints, compressed
	checkpointEvents uint32        // of a completed item: events that the checkpoints hold
	backoff          time.Duration // of an item that is retried: before the next attempt
	outcome          admission.Outcome
	load             *admission.Load // that the backend reported, or nil
}

// failed is the result of an attempt that brought no answer, or whose stream failed.
func (a *attempt) failed(f *forward.Failure) attemptResult {
	return attemptResult{
		next:    stepRetry,
		outcome: a.outcomeOf(f),
		load:    f.Load,
		backoff: a.item.Backoff(a.backend.ID),
	}
}

// outcomeOf returns what a failure says about the backend.
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

// rejected is the result of an answer by which the item can never be done.
func (a *attempt) rejected(response *forward.Response) attemptResult {
	return answered(response, stepAbandon)
}

// serverError is the result of an internal server error. The item is abandoned after as many as the route allows.
func (a *attempt) serverError(response *forward.Response) attemptResult {
	if !a.item.CountServerError(a.route.MaxAttempts) {
		return answered(response, stepAbandon)
	}
	return a.retryAfterAnswer(response)
}

// retryAfterAnswer is the result of an answer that is no stream of events, after which the item is tried again.
func (a *attempt) retryAfterAnswer(response *forward.Response) attemptResult {
	backoff := a.item.Backoff(a.backend.ID)
	result := answered(response, stepRetry)
	result.backoff = backoff
	return result
}

// answered is the result of an answer that is no stream of events. It reads the body, so that the connection can be used again.
func answered(response *forward.Response, next nextStep) attemptResult {
	result := attemptResult{next: next, outcome: admission.OK, load: response.Load}
	if response.Streaming {
		return result
	}
	if _, err := response.ReadAll(); err != nil {
		result.outcome = admission.Failed
	}
	return result
}

// streamEnded is the result of a stream that ended properly. One that brought no event at all has brought no text.
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

// streamFailed is the result of a stream that could not be read to its end.
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
