package discovery

import "time"

// callPacing decides when a poll makes its calls.
type callPacing struct {
	ratePerS float64 // the platform's rate limit in calls per second; 0: unlimited
	// primary is set if this node is the primary. The primary keeps retrying after status 429; other nodes give up
	// after a few retries and leave the rate to the primary.
	primary bool
}

// callGap returns the time to wait before the next call after the given number of pages. A long listing is polled no
// faster than the platform's rate limit allows, and only the primary starts with a burst.
func (p callPacing) callGap(pages int) time.Duration {
	if p.ratePerS <= 0 || pages == 0 || p.primary && float64(pages) < burstSeconds*p.ratePerS {
		return 0
	}
	return fraction(time.Second, 1/(steadyRateFraction*p.ratePerS))
}

// retryDelay returns how long to wait before retrying a call that has been refused the given number of times in a row,
// and whether to retry it at all.
func (p callPacing) retryDelay(refused int) (time.Duration, bool) {
	if p.primary {
		return minPageRetryDelay / 2, true
	}
	return minPageRetryDelay << (refused - 1), refused <= maxPageRetries
}
