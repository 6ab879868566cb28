// Package pause waits for a time that the end of a context cuts short.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends, and reports whether ctx has not ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Every calls do once in each period, and whenever wake is signalled, until ctx ends. wake may be nil. Calls that come due
// while do runs are made up for by one.
func Every(ctx context.Context, period time.Duration, wake <-chan struct{}, do func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wake:
		}
		do()
	}
}
