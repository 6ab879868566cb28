package upstream

import (
	"math"
	"time"
)

const (
	// idleBuckets is the number of buckets, each √2 times as wide as the one before. They cover idle times from shortestIdle
	// to over two minutes.
	idleBuckets = 34
	// shortestIdle is the idle time below which connections count as busy ones.
	shortestIdle = time.Millisecond
	// decayTimeConstant is the time constant with which recorded outcomes decay, so that longer idle times are tried again.
	decayTimeConstant = 5 * time.Second
	// minBroken is the number of broken connections from which on the idle time is limited: fewer may be chance.
	minBroken = 3.0
	// minBrokenShare is the share of broken connections from which on the idle time is limited. It is more than what a poor
	// network breaks.
	minBrokenShare = 0.25
)

// idleHistory learns how long a connection may be idle before the backend, or a device on the network path, silently drops
// it. Such a connection looks open until a request is written to it, and that request may have run. This cannot be a
// setting: a setting can state the limit of the backend, but not that of a faulty network.
type idleHistory struct {
	decayedAt time.Time
	buckets   [idleBuckets]struct{ used, broken float64 } // by idle time: reused connections, and those that broke
}

// idleBucket returns the bucket of an idle time.
func idleBucket(idle time.Duration) int {
	return min(idleBuckets-1, max(0, int(2*math.Log2(float64(idle)/float64(shortestIdle)))))
}

// decay reduces the weight of the recorded outcomes by their age.
func (h *idleHistory) decay(now time.Time) {
	factor := math.Exp(-now.Sub(h.decayedAt).Seconds() / decayTimeConstant.Seconds())
	for i := range h.buckets {
		h.buckets[i].used *= factor
		h.buckets[i].broken *= factor
	}
	h.decayedAt = now
}

// record adds the outcome of a request on a connection that had been idle. broken means that the connection was reset
// before any byte of a response.
func (h *idleHistory) record(now time.Time, idle time.Duration, broken bool) {
	h.decay(now)
	bucket := &h.buckets[idleBucket(idle)]
	bucket.used++
	if broken {
		bucket.broken++
	}
}

// limit returns the shortest idle time from which on too many connections have broken lately, but at most longest.
func (h *idleHistory) limit(now time.Time, longest time.Duration) time.Duration {
	h.decay(now)
	used, broken := 0.0, 0.0
	for i := idleBuckets - 1; i > 0; i-- {
		bucket := h.buckets[i]
		used += bucket.used
		broken += bucket.broken
		// The bucket itself must also have too many: otherwise only longer idle times break connections.
		tooMany := broken >= minBroken && broken >= minBrokenShare*used
		if tooMany && bucket.broken > 0 && bucket.broken >= minBrokenShare*bucket.used {
			longest = min(longest, time.Duration(float64(shortestIdle)*math.Exp2(float64(i)/2)))
		}
	}
	return longest
}
