package scheduler

import (
	"maps"
	"slices"
	"time"
)

const (
	// A route whose item was refused pauses for as long as admission says, within these bounds: waiting items may take capacity
	// that becomes free soon, and one try costs little.
	minRefusalPause = 40 * time.Millisecond
	maxRefusalPause = 120 * time.Millisecond
)

// RefusalPause returns how long a route pauses after admission has refused an item of it and named a time to retry after.
func RefusalPause(retryAfter time.Duration) time.Duration {
	return min(max(retryAfter, minRefusalPause), maxRefusalPause)
}

// delayedItem is not run before a time.
type delayedItem struct {
	item *Item
	due  time.Time
}

// DelayItem returns an item whose attempt has ended without completing it. It waits again from due on.
func (s *Schedule) DelayItem(item *Item, due time.Time) {
	s.delayed = append(s.delayed, delayedItem{item: item, due: due})
}

// ReleaseDelayed makes the delayed items that are due wait again, each before the others of its job.
func (s *Schedule) ReleaseDelayed(now time.Time) {
	kept := s.delayed[:0]
	for _, d := range s.delayed {
		if d.due.After(now) {
			kept = append(kept, d)
		} else {
			s.queue.pushFront(d.item)
		}
	}
	s.delayed = kept
}

// takeDelayed removes and returns the delayed items of a job.
func (s *Schedule) takeDelayed(j *Job) (taken []*Item) {
	kept := s.delayed[:0]
	for _, d := range s.delayed {
		if d.item.Job == j {
			taken = append(taken, d.item)
		} else {
			kept = append(kept, d)
		}
	}
	s.delayed = kept
	return taken
}

// PauseRoute keeps the items of a route from running before a time.
func (s *Schedule) PauseRoute(route string, until time.Time) { s.paused[route] = until }

// ResumeRoute ends the pause of a route, and reports whether any of its items wait.
func (s *Schedule) ResumeRoute(route string) bool {
	delete(s.paused, route)
	return s.queue.mostUrgent(route) != nil
}

// PausedRoutes returns the routes that are paused, in no particular order.
func (s *Schedule) PausedRoutes() []string { return slices.Collect(maps.Keys(s.paused)) }

// EndPauses ends the pauses that are over, except those of routes that are in the store's retry queue, for which queued reports
// true. These are returned and pause for a little longer: the caller offers a try to the most urgent partition of the route,
// which resumes it there.
func (s *Schedule) EndPauses(now time.Time, queued func(route string) bool) (routes []string) {
	for route, until := range s.paused {
		switch {
		case until.After(now):
		case queued(route):
			s.paused[route] = now.Add(minRefusalPause)
			routes = append(routes, route)
		default:
			delete(s.paused, route)
		}
	}
	return routes
}

// Suspend keeps all items from running before a time.
func (s *Schedule) Suspend(until time.Time) { s.suspended = until }

// SuspendedUntil returns the time of the last Suspend, which may have passed, or the zero time.
func (s *Schedule) SuspendedUntil() time.Time { return s.suspended }

// MayRun reports whether any items wait and the schedule is not suspended. Their routes may be paused nevertheless.
func (s *Schedule) MayRun(now time.Time) bool {
	return s.queue.waiting > 0 && !s.suspended.After(now)
}

// NextChange returns the first time, latest at most, at which a delay, pause or suspension ends that keeps an item from running.
func (s *Schedule) NextChange(now, latest time.Time) time.Time {
	first := latest
	for _, d := range s.delayed {
		first = earlier(first, d.due)
	}
	switch {
	case s.queue.waiting == 0:
	case s.suspended.After(now):
		first = earlier(first, s.suspended)
	default:
		for _, until := range s.paused {
			first = earlier(first, until)
		}
	}
	return first
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
