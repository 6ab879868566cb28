package upstream

import (
	"math"
	"time"
)

const (
	idleBuckets    = 34               // of a factor of the square root of two: from idleShortest to over two minutes
	shortestIdle   = time.Millisecond // connections idle for less are as good as busy ones
	idleMemory     = 5 * time.Second  // what was seen counts for about so long: then longer times are tried again
	minBroken      = 3.0              // connections that broke, at least: fewer are chance
	minBrokenShare = 0.25             // of those idle for so long: more than a poor network breaks of all
)

// idleRecord learns for how long a connection may be idle before whoever is on the way, or the backend, has silently
// given it up. Such a connection looks open until a request is written, and that request may have run. What the
// settings say is the backend's own limit, and not that of a network in trouble.
type idleHistory struct {
	decayedAt time.Time
	buckets   [idleBuckets]struct{ used, broken float64 }
}

func idleBucket(idle time.Duration) int {
	return min(idleBuckets-1, max(0, int(2*math.Log2(float64(idle)/float64(shortestIdle)))))
}

func (r *idleHistory) decay(now time.Time) {
	part := math.Exp(-now.Sub(r.decayedAt).Seconds() / idleMemory.Seconds())
	for i := range r.buckets {
		r.buckets[i].used *= part
		r.buckets[i].broken *= part
	}
	r.decayedAt = now
}

// note takes how a request fared on a connection that had been idle. broken: it was reset with no byte of an answer.
func (r *idleHistory) record(now time.Time, idle time.Duration, broken bool) {
	r.decay(now)
	s := &r.buckets[idleBucket(idle)]
	s.used++
	if broken {
		s.broken++
	}
}

// limit gives the idle time from which on too many connections have broken lately, or most if there is none.
func (r *idleHistory) limit(now time.Time, most time.Duration) time.Duration {
	r.decay(now)
	used, broken := 0.0, 0.0
	for i := idleBuckets - 1; i > 0; i-- {
		s := r.buckets[i]
		used, broken = used+s.used, broken+s.broken
		// The step itself has to be bad too: else it is too short, and only drawn in by the longer ones.
		if broken >= minBroken && broken >= minBrokenShare*used && s.broken > 0 && s.broken >= minBrokenShare*s.used {
			most = min(most, time.Duration(float64(shortestIdle)*math.Exp2(float64(i)/2)))
		}
	}
	return most
}
