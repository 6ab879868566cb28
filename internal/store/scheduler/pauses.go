package scheduler

import (
	"maps"
	"slices"
	"time"
)

const (
	// A route whose item was refused is paused for the time that admission names, within these bounds. The upper bound is short
	// because capacity may become free earlier, and a further request to admission costs little.
	minRefusalPause = 40 * time.Millisecond
	maxRefusalPause = 120 * time.Millisecond
)

// RefusalPause returns how long a route is paused after admission has refused one of its items and named a time to retry after.
func RefusalPause(retryAfter time.Duration) time.Duration {
	return min(max(retryAfter, minRefusalPause), maxRefusalPause)
}

// delayedItem is an item that does not run before its due time.
type delayedItem struct {
	item *Item
	due  time.Time
}

// DelayItem returns to the schedule an item whose attempt has ended without completing it. The item waits again from due on.
func (s *Schedule) DelayItem(item *Item, due time.Time) {
	s.delayed = append(s.delayed, delayedItem{item: item, due: due})
}

// ReleaseDelayed moves the delayed items that are due to the queue, each before the other waiting items of its job.
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

// PauseRoute keeps the items of a route from running until a time.
func (s *Schedule) PauseRoute(route string, until time.Time) { s.pausedUntil[route] = until }

// ResumeRoute ends the pause of a route, and reports whether any items of the route are waiting.
func (s *Schedule) ResumeRoute(route string) bool {
	delete(s.pausedUntil, route)
	return s.queue.mostUrgent(route) != nil
}

// PausedRoutes returns the routes that are paused, in no particular order.
func (s *Schedule) PausedRoutes() []string { return slices.Collect(maps.Keys(s.pausedUntil)) }

// EndPauses ends the pauses whose time has passed, except those of routes for which this partition is in the store's retry queue
// (queued reports true). Such routes are returned, and stay paused for another minRefusalPause: the caller offers the capacity of
// the route to the partition with the most urgent job, which then calls ResumeRoute on its own schedule.
func (s *Schedule) EndPauses(now time.Time, queued func(route string) bool) (routes []string) {
	for route, until := range s.pausedUntil {
		switch {
		case until.After(now):
		case queued(route):
			s.pausedUntil[route] = now.Add(minRefusalPause)
			routes = append(routes, route)
		default:
			delete(s.pausedUntil, route)
		}
	}
	return routes
}

// Suspend keeps all items from running until a time.
func (s *Schedule) Suspend(until time.Time) { s.suspendedUntil = until }

// SuspendedUntil returns the time of the last Suspend, which may have passed, or the zero time.
func (s *Schedule) SuspendedUntil() time.Time { return s.suspendedUntil }

// MayRun reports whether any items are waiting and the schedule is not suspended. The routes of these items may still be paused.
func (s *Schedule) MayRun(now time.Time) bool {
	return s.queue.waiting > 0 && !s.suspendedUntil.After(now)
}

// NextChange returns the earliest time at which a delay, pause or suspension that keeps an item from running ends, or latest if
// none ends before.
func (s *Schedule) NextChange(now, latest time.Time) time.Time {
	first := latest
	for _, d := range s.delayed {
		first = earlier(first, d.due)
	}
	switch {
	case s.queue.waiting == 0:
	case s.suspendedUntil.After(now):
		first = earlier(first, s.suspendedUntil)
	default:
		for _, until := range s.pausedUntil {
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
