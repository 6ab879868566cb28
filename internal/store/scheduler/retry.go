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
	// unconfirmedFactor is how many responses that are not confirmed stand for one that is. An item must not be sent after three times
	// as many failures as the route allows, whether they were confirmed or not.
	unconfirmedFactor = 3
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

// CountServerError counts an attempt to which the backend responded with an internal server error. It is confirmed if the response
// was whole and carried the backend's seal.
func (i *Item) CountServerError(confirmed bool) {
	if confirmed {
		i.serverErrors++
	} else {
		i.unconfirmedServerErrors++
	}
}

// CountRejection counts an attempt to which the backend responded that the item can never be processed.
func (i *Item) CountRejection(confirmed bool) {
	if confirmed {
		i.rejected = true
	} else {
		i.unconfirmedRejections++
	}
}

// ServerErrors returns how many confirmed server errors have been counted, with those of former heads that were recorded.
func (i *Item) ServerErrors() int { return i.serverErrors }

// IsRejected reports whether a rejection was confirmed, or as many were not as stand for one that is.
func (i *Item) IsRejected() bool { return i.rejected || i.unconfirmedRejections >= unconfirmedFactor }

// Unconfirmed returns how many server errors and rejections have been counted that are not confirmed.
func (i *Item) Unconfirmed() int { return i.unconfirmedServerErrors + i.unconfirmedRejections }

// MayRun reports whether the item may be sent, given that maxAttempts attempts may end with an internal server error. A maxAttempts
// below 1 counts as 1.
func (i *Item) MayRun(maxAttempts int) bool {
	maxAttempts = max(maxAttempts, 1)
	return i.serverErrors < maxAttempts && i.serverErrors+i.unconfirmedServerErrors < unconfirmedFactor*maxAttempts
}
