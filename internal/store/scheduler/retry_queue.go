package scheduler

import "sync"

// Waiter runs the items of a partition, and waits for slots or for capacity at backends. It has to be comparable.
type Waiter interface {
	// Wake has the waiter look for items to run, on a goroutine of its own. It must not block.
	Wake()
	// Retry resumes a route whose items were refused, and reports whether the waiter will try any. It is called without locks.
	Retry(route string) bool
}

// RetryQueue orders the partitions of a store whose items were refused by admission: capacity that becomes free at the backends
// of a route is offered first to the partition whose waiting job is the most urgent. It is safe for concurrent use.
type RetryQueue struct {
	mutex   sync.Mutex
	waiting map[string]map[Waiter]Urgency // by route
}

// NewRetryQueue returns an empty queue.
func NewRetryQueue() *RetryQueue {
	return &RetryQueue{waiting: map[string]map[Waiter]Urgency{}}
}

// Enter enters a waiter whose item was refused, or renews its urgency.
func (q *RetryQueue) Enter(route string, w Waiter, u Urgency) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.waiting[route] == nil {
		q.waiting[route] = map[Waiter]Urgency{}
	}
	q.waiting[route][w] = u
}

// Contains reports whether a waiter is queued for a route.
func (q *RetryQueue) Contains(route string, w Waiter) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	_, queued := q.waiting[route][w]
	return queued
}

// Len returns how many waiters are queued for a route.
func (q *RetryQueue) Len(route string) int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.waiting[route])
}

// Leave removes a waiter from the queue of a route.
func (q *RetryQueue) Leave(route string, w Waiter) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.remove(route, w)
}

// Offer has the most urgent waiter of a route try again that still has items to try. The caller must not hold the mutex of any
// waiter.
func (q *RetryQueue) Offer(route string) {
	for w := q.pop(route); w != nil; w = q.pop(route) {
		if w.Retry(route) {
			return
		}
	}
}

// pop removes and returns the most urgent waiter of a route, or nil if there is none.
func (q *RetryQueue) pop(route string) Waiter {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var first Waiter
	var most Urgency
	for w, u := range q.waiting[route] {
		if first == nil || u.before(most) {
			first, most = w, u
		}
	}
	if first != nil {
		q.remove(route, first)
	}
	return first
}

func (q *RetryQueue) remove(route string, w Waiter) {
	delete(q.waiting[route], w)
	if len(q.waiting[route]) == 0 {
		delete(q.waiting, route)
	}
}
