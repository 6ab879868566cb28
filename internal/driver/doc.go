// Package driver runs a state machine that is free of I/O in real time: it serializes the events, keeps the timer of what
// falls due next, and hands over what the machine wants done.
//
// Guarantees:
//
//   - The machine is only used by one goroutine at a time: events, timer ticks and inspections are serialized.
//   - The time that the machine sees is a monotonic clock, which begins at 0 when the driver is made.
//   - What an event brought forth is taken from the machine before the next event is handled. It is performed outside the
//     lock, by the goroutine that brought the event, so performing may itself hand further events to the driver. The
//     outputs of two concurrent events may be performed in any order.
//   - Nothing falls due before Start or after the context of Start has ended, and from then on no event is handled.
//
// Package member and package gossip are services of this shape.
package driver
