package forward

import (
	"errors"
	"fmt"

	"nickelline/internal/admission"
)

// Causes of failures.
var (
	errNotListed     = errors.New("the backend is not listed as ready")
	errDeadline      = errors.New("the deadline has passed")
	errOtherAnswer   = errors.New("the answer does not carry the id of the request")
	errNotExecuted   = errors.New("the backend did not run the request")
	errNoEnd         = errors.New("the end of the answer cannot be known")
	errTooLarge      = errors.New("the answer is too large")
	errOtherProtocol = errors.New("the backend speaks another protocol")
)

// Outcome says what is known of a request after an attempt that brought no answer of the backend's own.
type Outcome uint8

// The outcomes of failed attempts.
const (
	// NotSent: the request was not written whole to any backend, so it has not run.
	NotSent Outcome = iota
	// NotExecuted: the backend, or another one at its address, reported that it did not run the request.
	NotExecuted
	// MayHaveRun: the request was sent, and nothing says that it did not run.
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

// Failure is the error of an attempt that brought no answer which may be passed on.
type Failure struct {
	// Backend is the id of the backend.
	Backend string
	Outcome Outcome
	// Err is the cause.
	Err error
	// Status of the answer that reported NotExecuted; 0: there was none.
	Status int
	// Load is what the backend reported of itself; nil: nothing.
	Load *admission.Load
	// TimedOut: the deadline passed without a complete answer.
	TimedOut bool
	// Cancelled: the context ended.
	Cancelled bool
}

// Error names the backend, the outcome and the cause.
func (f *Failure) Error() string {
	return fmt.Sprintf("request to backend %s %s: %v", f.Backend, f.Outcome, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }
