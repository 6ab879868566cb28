package scheduler

import (
	"math/rand/v2"
	"time"
)

const (
	// The backoff before the next attempt of an item grows from minBackoff to maxBackoff while attempts produce no event.
	minBackoff = 30 * time.Millisecond
	maxBackoff = time.Second
	// maxBackoffDoublings bounds the exponent, so that the backoff does not overflow.
	maxBackoffDoublings = 10
)

// Backoff returns the backoff before the item's next attempt, after a failed attempt at a backend, which the next attempt avoids.
// The backoff is random between half of a limit and the limit, which doubles with each consecutive attempt that produces no event.
func (i *Item) Backoff(backend string) time.Duration {
	i.AvoidBackend = backend
	limit := min(minBackoff<<min(i.emptyAttempts, maxBackoffDoublings), maxBackoff)
	i.emptyAttempts++
	return limit/2 + rand.N(limit/2)
}

// MadeProgress records that an attempt has produced an event, which resets the backoff.
func (i *Item) MadeProgress() { i.emptyAttempts = 0 }

// CountServerError counts an attempt to which the backend responded with an internal server error.
func (i *Item) CountServerError() { i.serverErrors++ }

// ServerErrors returns how many attempts have been counted, with those of former heads that were recorded.
func (i *Item) ServerErrors() int { return i.serverErrors }

// MayRun reports whether the item may be sent, given that maxAttempts attempts may end with an internal server error. A maxAttempts
// below 1 counts as 1.
func (i *Item) MayRun(maxAttempts int) bool { return i.serverErrors < max(maxAttempts, 1) }
