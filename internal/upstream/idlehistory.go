package upstream

import (
	"math"
	"time"
)

const (
	// idleBuckets is the number of buckets, each wider by the square root of two: from shortestIdle to over two minutes.
	idleBuckets = 34
	// shortestIdle is the idle time below which connections are as good as busy ones.
	shortestIdle = time.Millisecond
	// idleMemory is the time constant with which old outcomes fade, so that longer idle times are tried again.
	idleMemory = 5 * time.Second
	// minBroken is the number of broken connections that limits the idle time: fewer are chance.
	minBroken = 3.0
	// minBrokenShare is the share of broken connections that limits it: more than a poor network breaks.
	minBrokenShare = 0.25
)

// idleHistory learns for how long a connection may be idle before the backend, or a device on the path, has dropped it
// without notice. Such a connection looks open until a request is written, and that request may have run. Settings can
// state the limit of the backend only, not that of a faulty network.
type idleHistory struct {
	decayedAt time.Time
	buckets   [idleBuckets]struct{ used, broken float64 }
}

// idleBucket returns the bucket of an idle time.
func idleBucket(idle time.Duration) int {
	return min(idleBuckets-1, max(0, int(2*math.Log2(float64(idle)/float64(shortestIdle)))))
}

// decay lets old outcomes fade.
func (r *idleHistory) decay(now time.Time) {
	factor := math.Exp(-now.Sub(r.decayedAt).Seconds() / idleMemory.Seconds())
	for i := range r.buckets {
		r.buckets[i].used *= factor
		r.buckets[i].broken *= factor
	}
	r.decayedAt = now
}

// record takes the outcome of a request on a connection that had been idle. broken: it was reset before any byte of an answer.
func (r *idleHistory) record(now time.Time, idle time.Duration, broken bool) {
	r.decay(now)
	bucket := &r.buckets[idleBucket(idle)]
	bucket.used++
	if broken {
		bucket.broken++
	}
}

// limit returns the idle time from which on too many connections have broken lately, at most longest.
func (r *idleHistory) limit(now time.Time, longest time.Duration) time.Duration {
	r.decay(now)
	used, broken := 0.0, 0.0
	for i := idleBuckets - 1; i > 0; i-- {
		bucket := r.buckets[i]
		used += bucket.used
		broken += bucket.broken
		// The bucket itself has to be bad too: otherwise only the longer idle times are.
		tooMany := broken >= minBroken && broken >= minBrokenShare*used
		if tooMany && bucket.broken > 0 && bucket.broken >= minBrokenShare*bucket.used {
			longest = min(longest, time.Duration(float64(shortestIdle)*math.Exp2(float64(i)/2)))
		}
	}
	return longest
}
