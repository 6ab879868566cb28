package scheduler

import "sync"

// Slots bounds the items that run at one time over all partitions of a store, so that their memory stays bounded. It is safe for
// concurrent use.
type Slots struct {
	mutex   sync.Mutex
	free    int
	waiters map[Waiter]struct{}
}

// NewSlots returns a number of free slots.
func NewSlots(count int) *Slots {
	return &Slots{free: count, waiters: map[Waiter]struct{}{}}
}

// TryAcquire takes a slot and reports whether there was one. If there was none the waiter is woken once one is free.
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

// Release gives a slot back and wakes all that wait for one.
func (s *Slots) Release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.free++
	for w := range s.waiters {
		delete(s.waiters, w)
		w.Wake()
	}
}
