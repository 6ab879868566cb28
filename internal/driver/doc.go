// Package driver runs a state machine, which itself does no I/O, in real time: it serializes the events, keeps the timer
// for the next deadline of the machine, and passes the output of the machine to a function that performs it.
//
// Guarantees:
//
//   - The machine is used by only one goroutine at a time: events, timer ticks and inspections are serialized.
//   - The times that the machine receives are from a monotonic clock that starts at 0 when the driver is created.
//   - The output of an event is taken from the machine before the next event is handled. It is performed outside the
//     lock, by the goroutine that delivered the event, so that performing it may itself deliver further events to the
//     driver. The outputs of two concurrent events may be performed in any order.
//   - The timer advances the machine only between Start and the end of the context of Start. After the end of the
//     context no event is handled.
//
// The services of packages member and gossip are built on it.
package driver
