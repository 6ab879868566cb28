// Package controlapi holds what the operator's API of the control role and its callers share: paths and bodies.
package controlapi

// Paths of the API. RetirePath is followed by the name of a node.
const (
	ConfigurationPath = "/-/configuration"
	RetirePath        = "/-/retire/"
	StatusPath        = "/-/status"
)

// MatchHeader holds the version that an order builds on.
const MatchHeader = "If-Match"

// Taken acknowledges a configuration.
type ConfigurationAccepted struct {
	Version uint64 `json:"version"`
}

// States of a retirement.
const (
	RetirementInProgress = "in_progress"
	RetirementCompleted  = "completed"
)

// RetireOrder asks that a store be emptied.
type RetireRequest struct {
	DurationS float64 `json:"durationS"`
}

// Retirement tells how far a retirement is.
type Retirement struct {
	State string `json:"state"`
}

// Failure tells why a call was not carried out.
type ErrorBody struct {
	Error string `json:"error"`
}
