package scheduler

import (
	"time"

	"nickelline/internal/configuration"
)

// urgentPressure is the pressure from which on a job no longer waits for backends of the own zone.
const urgentPressure = 0.5

// Urgency ranks waiting jobs: those that can still be completed in time come first, and of these the one under the greatest
// pressure. The zero value is the least urgent of the jobs that are not late.
type Urgency struct {
	// Late reports that the route's completion target has passed.
	Late bool
	// Pressure is the greater of two shares that are used up: the job's age of the completion target, and the tenant's queued
	// tokens of its limit, beyond which its further jobs are refused.
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

func (u Urgency) before(other Urgency) bool {
	if u.Late != other.Late {
		return other.Late
	}
	return u.Pressure > other.Pressure
}

// IsUrgent reports whether a job may cost traffic between zones rather than wait for backends of the own zone.
func (u Urgency) IsUrgent() bool { return u.Late || u.Pressure >= urgentPressure }
