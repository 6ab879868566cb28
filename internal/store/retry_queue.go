package store

import "time"

// enterRetryQueue adds the runner to the retry queue of a route, where it waits for capacity at the route's backends with the urgency
// of its most urgent job. The caller holds the mutex.
func (r *runner) enterRetryQueue(route string) {
	if urgency, ok := r.schedule.MostUrgent(route); ok {
		r.config.retryQueue.Enter(route, r, urgency)
	}
}

// leaveRetryQueue removes a runner that has stopped from the retry queue, and passes on capacity that it may have been offered.
func (r *runner) leaveRetryQueue() {
	r.mutex.Lock()
	routes := r.schedule.PausedRoutes()
	r.mutex.Unlock()
	for _, route := range routes {
		r.config.retryQueue.Leave(route, r)
		r.config.retryQueue.Offer(route)
	}
}

// Retry implements scheduler.Waiter: it resumes a route to retry its waiting items, because capacity may have become free.
func (r *runner) Retry(route string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.schedule.ResumeRoute(route) {
		return false
	}
	r.Wake()
	return true
}

// endPauses ends the pauses whose time has passed. If items of a route were refused, the most urgent runner of the store tries first.
func (r *runner) endPauses(now time.Time) {
	for _, route := range r.endUnqueuedPauses(now) {
		r.config.retryQueue.Offer(route)
	}
}

// endUnqueuedPauses ends the pauses whose time has passed, except those of routes for which the runner is in the retry queue: it
// returns these routes, whose pauses go on.
func (r *runner) endUnqueuedPauses(now time.Time) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.schedule.EndPauses(now, func(route string) bool { return r.config.retryQueue.Contains(route, r) })
}
