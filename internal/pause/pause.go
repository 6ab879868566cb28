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
