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

// writeError writes the error response for the kind of err. The text of err is not sent.
func (w *responseWriter) writeError(err error) {
	kind := fault.KindOf(err)
	if w.onError != nil {
		w.onError(kind)
	}
	response := fault.ResponseFor(kind)
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if response.Status == http.StatusTooManyRequests || response.Status == http.StatusServiceUnavailable {
		header["Retry-After"] = []string{formatRetryAfter(retryAfter(err))}
	}
	w.write(response.Status, header, []byte(http.StatusText(response.Status)))
}

// writeErrorIfNotStarted writes an error response unless a response has begun, which then remains incomplete.
func (w *responseWriter) writeErrorIfNotStarted(err error) {
	if !w.started {
		w.writeError(err)
	}
}

// retryAfterError is an error with an estimate of the time after which a retry is likely to succeed.
type retryAfterError struct {
	error
	after time.Duration
}

// Unwrap returns the error without the time.
func (e *retryAfterError) Unwrap() error { return e.error }

// retryAfter returns the time after which a client should retry, or defaultRetryAfter if err does not state it.
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

// formatRetryAfter formats a time in seconds with random jitter, so that clients do not retry at the same time.
func formatRetryAfter(after time.Duration) string {
	spread := 1 + retryJitter*(2*rand.Float64()-1)
	after = max(time.Duration(float64(after)*spread), minRetryAfter)
	return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
}
