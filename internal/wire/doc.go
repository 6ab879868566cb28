// Package wire translates between the simulator's JSON lines and the types of package decide. It decides nothing.
//
// Each line of the simulator is a batch of events of several instances; each answer is a line with the actions of these
// instances. Unknown keys are skipped, so that a later simulator may add some; a missing key, an unknown name or an
// unknown code is an error that names the instance and the event. Decoders keep no reference to the line.
//
// Files in reading order:
//
//   - batch.go: a line, its instances and their events
//   - events.go, outcomes.go, list.go, report.go: the kinds of events and what they hold
//   - start.go, settings.go: the start of an instance; the settings object, which a real node reads too
//   - reply.go: the line of actions
package wire
