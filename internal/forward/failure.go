package forward

import (
	"errors"
	"fmt"

	"nickelline/internal/admission"
)

// Causes of failures.
var (
	errNotListed         = errors.New("backend is not listed as ready")
	errDeadlinePassed    = errors.New("deadline has passed")
	errAttemptIDMismatch = errors.New("response does not carry the attempt id of the request")
	errNotExecuted       = errors.New("backend did not run the request")
	errUndelimited       = errors.New("response body has neither a length nor chunks")
	errTooLarge          = errors.New("response is too large")
)

// Outcome states what is known about a request after an attempt that got no usable response.
type Outcome uint8

// The outcomes of failed attempts.
const (
	// NotSent means that the head of the request was not written completely, so the request has not run.
	NotSent Outcome = iota
	// NotExecuted means that the backend, or another one at its address, reported that it did not run the request.
	NotExecuted
	// MayHaveRun means that the request was sent, at least its head, and it is unknown whether it ran.
	MayHaveRun
)

// String returns the outcome in words.
func (o Outcome) String() string {
	switch o {
	case NotSent:
		return "not sent"
	case NotExecuted:
		return "not executed"
	default:
		return "may have run"
	}
}

// Failure is the error of an attempt that got no response which may be passed on to the client.
type Failure struct {
	// Backend is the id of the backend.
	Backend string
	Outcome Outcome
	// Err is the cause.
	Err error
	// Status is the status of the response that reported NotExecuted, or 0 if there was none.
	Status int
	// Load is the load that the backend reported, or nil if it reported none.
	Load *admission.Load
	// TimedOut means that the deadline passed without a complete response.
	TimedOut bool
	// Cancelled means that the context ended.
	Cancelled bool
}

// Error names the backend, the outcome and the cause.
func (f *Failure) Error() string {
	return fmt.Sprintf("request to backend %s %s: %v", f.Backend, f.Outcome, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }
