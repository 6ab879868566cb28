package simnet

import (
	"container/heap"
	"time"
)

// Clock is the clock of a simulation, with the queue of what is going to happen. Nothing takes time but waiting: the
// clock jumps from one event to the next. The zero value is a clock at 0 without events. A Clock is not safe for
// concurrent use.
type Clock struct {
	now    time.Duration
	events eventHeap
	count  uint64 // of all events so far
}

// Now returns the time since the start of the simulation.
func (c *Clock) Now() time.Duration { return c.now }

// At has f called at a time, or now if that time is over.
func (c *Clock) At(at time.Duration, f func()) {
	c.count++
	heap.Push(&c.events, event{at: max(at, c.now), order: c.count, do: f})
}

// After has f called after a time.
func (c *Clock) After(wait time.Duration, f func()) { c.At(c.now+wait, f) }

// Step carries out the next event. It reports whether there was one.
func (c *Clock) Step() bool {
	if len(c.events) == 0 {
		return false
	}
	next := heap.Pop(&c.events).(event)
	c.now = next.at
	next.do()
	return true
}

// RunUntil carries out all events up to a time, and sets the clock to that time.
func (c *Clock) RunUntil(end time.Duration) {
	c.RunUntilDone(end, func() bool { return false })
}

// RunUntilDone carries out events up to a time, or until done returns true after one of them. It reports whether that
// was the case. Otherwise it sets the clock to the given time.
func (c *Clock) RunUntilDone(end time.Duration, done func() bool) bool {
	for len(c.events) > 0 && c.events[0].at <= end {
		c.Step()
		if done() {
			return true
		}
	}
	c.now = max(c.now, end)
	return false
}

// event is something that happens at a time. Events of the same time happen in the order in which they were added.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

// eventHeap is a heap.Interface of events, with the earliest first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
