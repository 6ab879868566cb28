package simnet

import (
	"container/heap"
	"time"
)

// Clock is the clock of a simulation with its queue of events. Events themselves take no time: the clock jumps from one
// event to the next. The zero value is a clock at 0 without events. A Clock is not safe for concurrent use.
type Clock struct {
	now       time.Duration
	events    eventHeap
	scheduled uint64 // number of events scheduled so far
}

// Now returns the time since the start of the simulation.
func (c *Clock) Now() time.Duration { return c.now }

// At schedules a call of f at the given time, or at the current time if that is later.
func (c *Clock) At(at time.Duration, f func()) {
	c.scheduled++
	heap.Push(&c.events, event{at: max(at, c.now), order: c.scheduled, do: f})
}

// After schedules a call of f after the given wait.
func (c *Clock) After(wait time.Duration, f func()) { c.At(c.now+wait, f) }

// Step advances the clock to the next event and runs it. It reports whether there was one.
func (c *Clock) Step() bool {
	if len(c.events) == 0 {
		return false
	}
	next := heap.Pop(&c.events).(event)
	c.now = next.at
	next.do()
	return true
}

// RunUntil runs all events up to and including the given time, and sets the clock to that time.
func (c *Clock) RunUntil(end time.Duration) {
	c.RunUntilDone(end, func() bool { return false })
}

// RunUntilDone runs events up to and including the given time, or until done returns true after one of them. It reports
// whether done returned true. If not, it sets the clock to the given time.
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

// event is a scheduled call. Events of the same time run in the order in which they were scheduled.
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
