package scheduler

import "sync"

// Slots limits the number of items that run concurrently over all partitions of a store, so that their memory stays bounded. It
// is safe for concurrent use.
type Slots struct {
	mutex   sync.Mutex
	free    int
	waiters map[Waiter]struct{}
}

// NewSlots returns slots that are all free.
func NewSlots(count int) *Slots {
	return &Slots{free: count, waiters: map[Waiter]struct{}{}}
}

// TryAcquire takes a slot and reports whether one was free. If none was free, the waiter is woken when a slot is released.
func (s *Slots) TryAcquire(w Waiter) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.free == 0 {
		s.waiters[w] = struct{}{}
		return false
	}
	s.free--
	return true
}

// Release frees a slot and wakes all waiters.
func (s *Slots) Release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.free++
	for w := range s.waiters {
		delete(s.waiters, w)
		w.Wake()
	}
}
