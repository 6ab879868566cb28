package store

import "time"

// enterRetryQueue enters the runner, with its most urgent job of a route, among those that wait for capacity at the route's
// backends. The caller holds the mutex.
func (r *runner) enterRetryQueue(route string) {
	if urgency, ok := r.schedule.MostUrgent(route); ok {
		r.config.retryQueue.Enter(route, r, urgency)
	}
}

// leaveRetryQueue removes a runner that works no longer, and offers what it may have been offered to others.
func (r *runner) leaveRetryQueue() {
	r.mutex.Lock()
	routes := r.schedule.PausedRoutes()
	r.mutex.Unlock()
	for _, route := range routes {
		r.config.retryQueue.Leave(route, r)
		r.config.retryQueue.Offer(route)
	}
}

// Retry implements scheduler.Waiter: it has the waiting items of a route tried again, as capacity may have become free.
func (r *runner) Retry(route string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.schedule.ResumeRoute(route) {
		return false
	}
	r.Wake()
	return true
}

// endPauses ends the pauses that are over. Where items were refused, the most urgent runner of the store tries first.
func (r *runner) endPauses(now time.Time) {
	for _, route := range r.endUnqueuedPauses(now) {
		r.config.retryQueue.Offer(route)
	}
}

// endUnqueuedPauses ends the pauses that are over, and returns the routes for which the runner is in the retry queue instead.
func (r *runner) endUnqueuedPauses(now time.Time) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.schedule.EndPauses(now, func(route string) bool { return r.config.retryQueue.Contains(route, r) })
}
