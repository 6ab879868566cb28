package proxy

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/quota"
)

// writeError writes the answer to an error, by its kind.
func (w *responseWriter) writeError(err error) {
	kind := fault.KindOf(err)
	if w.onError != nil {
		w.onError(kind)
	}
	answer := fault.AnswerOf(kind)
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if answer.Status == http.StatusTooManyRequests || answer.Status == http.StatusServiceUnavailable {
		header["Retry-After"] = []string{formatRetryAfter(retryAfter(err))}
	}
	w.write(answer.Status, header, []byte(http.StatusText(answer.Status)))
}

// writeErrorIfNotStarted answers an error unless an answer has begun, which then remains incomplete.
func (w *responseWriter) writeErrorIfNotStarted(err error) {
	if !w.started {
		w.writeError(err)
	}
}

// retryAfterError is an error with the time after which a new attempt has good prospects.
type retryAfterError struct {
	error
	after time.Duration
}

// Unwrap returns the error itself.
func (e *retryAfterError) Unwrap() error { return e.error }

// retryAfter returns the time after which an error may be retried, or a default.
func retryAfter(err error) time.Duration {
	var retryable *retryAfterError
	if errors.As(err, &retryable) && retryable.after > 0 {
		return retryable.after
	}
	if after := quota.RetryAfter(err); after > 0 {
		return after
	}
	return defaultRetryAfter
}

// formatRetryAfter returns a time in seconds, made longer or shorter at random so that clients do not come back together.
func formatRetryAfter(after time.Duration) string {
	spread := 1 + retryJitter*(2*rand.Float64()-1)
	after = max(time.Duration(float64(after)*spread), minRetryAfter)
	return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
}
