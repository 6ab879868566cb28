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

// Repeat calls do at once, then whenever the time that do returned has passed or a value arrives on wake, until ctx ends. After a
// time of 0 it waits for wake only. wake may be nil.
func Repeat(ctx context.Context, wake <-chan struct{}, do func() time.Duration) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-wake:
		}
		if wait := do(); wait > 0 {
			timer.Reset(wait)
		}
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
