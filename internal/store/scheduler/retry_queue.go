package scheduler

import "sync"

// Waiter runs the items of a partition, and waits for slots or for capacity at backends. Implementations must be comparable.
type Waiter interface {
	// Wake makes the waiter look for items to run, on its own goroutine. It must not block.
	Wake()
	// Retry resumes a route whose items were refused, and reports whether the waiter has any to try. It is called without locks held.
	Retry(route string) bool
}

// RetryQueue orders the partitions of a store whose items were refused by admission: capacity that becomes free at the backends
// of a route is offered first to the partition with the most urgent waiting job. It is safe for concurrent use.
type RetryQueue struct {
	mutex   sync.Mutex
	waiting map[string]map[Waiter]Urgency // by route
}

// NewRetryQueue returns an empty queue.
func NewRetryQueue() *RetryQueue {
	return &RetryQueue{waiting: map[string]map[Waiter]Urgency{}}
}

// Enter adds a waiter whose item was refused to the queue of a route, or updates its urgency there.
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

// Offer removes waiters from the queue of a route, most urgent first, until one of them has items to retry. The caller must not
// hold the mutex of any waiter.
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
	var highest Urgency
	for w, u := range q.waiting[route] {
		if first == nil || u.before(highest) {
			first, highest = w, u
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
