package control

import "nickelline/internal/fault"

// Outcome says whether a command changed the state, or why it did not.
type Outcome uint8

// The outcomes of commands. Their numbers are part of the encoding of results.
const (
	// Malformed commands cannot be read.
	Malformed Outcome = iota
	// Accepted commands have changed the state.
	Accepted
	// Repeated commands had been accepted before.
	Repeated
	// Invalid commands break a rule of the operator's document.
	Invalid
	// VersionMismatch commands build on a state that is not the current one.
	VersionMismatch
	// Refused commands cannot be carried out in the current state.
	Refused
)

var outcomeFaults = map[Outcome]fault.Kind{
	Malformed:       fault.Internal,
	Invalid:         fault.InvalidConfiguration,
	VersionMismatch: fault.VersionConflict,
	Refused:         fault.Conflict,
}

// Result is the result of applying a command.
type Result struct {
	Outcome Outcome
	// Version is the version of the configuration, of the placement, or of the set of leaseholders after the command.
	Version uint64
	// Text says why the command changed nothing, for the operator.
	Text string
}

// Err returns the error for a command that was not accepted, nil for one that was.
func (r Result) Err() error {
	kind, failed := outcomeFaults[r.Outcome]
	if !failed {
		return nil
	}
	return fault.New(kind, "%s", r.Text)
}
