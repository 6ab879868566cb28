// Package wire translates between the simulator's JSON lines and the types of package decide. It contains no decision
// logic.
//
// Each line from the simulator is a batch of events for several instances of the decision module; each reply is a line
// with the actions of these instances. Unknown keys are skipped, so that a later simulator may add keys; a missing
// required key, an unknown name or an unknown code is an error that names the instance and the event. Decoded values hold
// no reference to the line.
//
// Files in reading order:
//
//   - batch.go: a line, and its events grouped by instance
//   - events.go, outcomes.go, list.go, report.go: the kinds of events and their fields
//   - start.go, settings.go: the start of an instance, and the settings object, which a real node reads too
//   - reply.go: the line of actions that answers a batch
package wire
