package scheduler

import (
	"math/rand/v2"
	"time"
)

const (
	// The pause before an item is tried again grows from minBackoff to maxBackoff while attempts bring nothing.
	minBackoff = 30 * time.Millisecond
	maxBackoff = time.Second
	// maxBackoffDoublings bounds the exponent, so that the pause does not overflow.
	maxBackoffDoublings = 10
)

// Backoff returns the pause before the item's next attempt, after one at a backend that brought nothing. The next attempt avoids
// that backend. The pause is drawn from the upper half of a limit that doubles with each such attempt in a row.
func (i *Item) Backoff(backend string) time.Duration {
	i.AvoidBackend = backend
	limit := min(minBackoff<<min(i.emptyAttempts, maxBackoffDoublings), maxBackoff)
	i.emptyAttempts++
	return limit/2 + rand.N(limit/2)
}

// MadeProgress notes that an attempt has brought an event: the next pause is short again.
func (i *Item) MadeProgress() { i.emptyAttempts = 0 }

// CountServerError counts an attempt that was answered by an internal server error, and reports whether another one may follow
// where maxAttempts of them are allowed. One is always allowed.
func (i *Item) CountServerError(maxAttempts int) (mayRetry bool) {
	i.serverErrors++
	return i.serverErrors < max(maxAttempts, 1)
}
