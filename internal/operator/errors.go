package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"nickelline/internal/control/controlapi"
)

// Exit codes of commands that use the client.
const (
	ExitInvalid    = 2 // the call is invalid in any state of the system
	ExitConflict   = 3 // the call conflicts with the current state of the system
	ExitNotFound   = 4
	ExitUnanswered = 5 // no node gave a definite answer: a change may have been applied
)

// RefusedError is the error of a call that a node refused, with the HTTP status and the reason of the answer.
type RefusedError struct {
	Status int
	Text   string
}

func newRefusedError(answer reply) *RefusedError {
	return &RefusedError{Status: answer.status, Text: reasonOf(answer.body)}
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused (%d): %s", e.Status, e.Text)
}

// ExitCode returns the exit code of a command that ends with the error.
func (e *RefusedError) ExitCode() int {
	switch e.Status {
	case http.StatusNotFound:
		return ExitNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return ExitConflict
	}
	return ExitInvalid
}

// UnansweredError is the error of a call that no node gave a definite answer to. If the call was a change, it may have been
// applied.
type UnansweredError struct {
	isChange bool
	lastErr  error
}

func newUnansweredError(call call, last error) *UnansweredError {
	return &UnansweredError{isChange: call.method != http.MethodGet, lastErr: last}
}

func (e *UnansweredError) Error() string {
	text := "no node gave a definite answer"
	if e.isChange {
		text += ", the change may have been applied"
	}
	return text + "; last error: " + e.lastErr.Error()
}

// Unwrap returns the error of the last attempt.
func (e *UnansweredError) Unwrap() error { return e.lastErr }

// ExitCode returns the exit code of a command that ends with the error.
func (e *UnansweredError) ExitCode() int { return ExitUnanswered }

// reasonOf returns the reason in the body of an error answer, or the whole body if it is not an ErrorBody.
func reasonOf(body []byte) string {
	var errorBody controlapi.ErrorBody
	if err := json.Unmarshal(body, &errorBody); err == nil && errorBody.Error != "" {
		return errorBody.Error
	}
	return strings.TrimSpace(string(body))
}
