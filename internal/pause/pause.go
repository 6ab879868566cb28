// Package pause provides waits that the end of a context interrupts.
package pause

import (
	"context"
	"time"
)

// For waits for d or until ctx ends. It returns false if ctx has ended.
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

// Every calls do once in each period, and whenever a value arrives on wake, until ctx ends. wake may be nil. Periods
// that end while do runs are made up for by one call.
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
