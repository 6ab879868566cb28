package discovery

import "time"

// callPacing decides when a poll makes its calls.
type callPacing struct {
	ratePerS float64 // calls that the platform takes; 0: not limited
	// primary is set if this node polls before all others: it goes on after status 429, while the others leave the rate to
	// it.
	primary bool
}

// callGap returns the time from one call to the next, after so many pages. A long listing is not polled faster than the
// platform's rate allows, and only the primary starts with a burst.
func (p callPacing) callGap(pages int) time.Duration {
	if p.ratePerS <= 0 || pages == 0 || p.primary && float64(pages) < burstSeconds*p.ratePerS {
		return 0
	}
	return fraction(time.Second, 1/(steadyRateFraction*p.ratePerS))
}

// retryDelay returns when to repeat a call that was refused so many times in a row, and whether to.
func (p callPacing) retryDelay(refused int) (time.Duration, bool) {
	if p.primary {
		return minPageRetryDelay / 2, true
	}
	return minPageRetryDelay << (refused - 1), refused <= pageRetries
}
