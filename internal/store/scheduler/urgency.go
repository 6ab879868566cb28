package scheduler

import (
	"time"

	"nickelline/internal/configuration"
)

// urgentPressure is the pressure at and above which a job no longer waits for backends in the store's own zone.
const urgentPressure = 0.5

// Urgency ranks waiting jobs: jobs that can still be completed in time come before late ones, and among each of these the job
// under the greatest pressure comes first. The zero value is the lowest rank of a job that is not late.
type Urgency struct {
	// Late reports that the route's completion target has passed.
	Late bool
	// Pressure is the greater of two ratios: the job's age to the completion target, and the tenant's queued tokens to their
	// limit, beyond which further jobs of the tenant are refused.
	Pressure float64
}

// UrgencyOf returns the urgency of a job on a route, from its age and the number of tokens that its tenant has queued there.
func UrgencyOf(route *configuration.Route, age time.Duration, queuedTokens int64) Urgency {
	var u Urgency
	if route.CompletionTarget > 0 {
		u.Late = age >= route.CompletionTarget
		u.Pressure = age.Seconds() / route.CompletionTarget.Seconds()
	}
	if route.MaxQueuedTokens > 0 {
		u.Pressure = max(u.Pressure, float64(queuedTokens)/float64(route.MaxQueuedTokens))
	}
	return u
}

// before reports whether u ranks before other.
func (u Urgency) before(other Urgency) bool {
	if u.Late != other.Late {
		return other.Late
	}
	return u.Pressure > other.Pressure
}

// IsUrgent reports whether a job may use backends in other zones rather than wait for those in the store's own zone.
func (u Urgency) IsUrgent() bool { return u.Late || u.Pressure >= urgentPressure }
