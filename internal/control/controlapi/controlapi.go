// Package controlapi is the operator's API of the control role as its server (package control) and its clients (package
// operator) share it: paths, headers and JSON bodies. The JSON names are an interface that must not change.
package controlapi

// Paths of the API. RetirePath is followed by the name of a node.
const (
	ConfigurationPath = "/-/configuration"
	RetirePath        = "/-/retire/"
	StatusPath        = "/-/status"
)

// MatchHeader is the header with the version that a change of the configuration builds on.
const MatchHeader = "If-Match"

// ConfigurationAccepted acknowledges a change of the configuration.
type ConfigurationAccepted struct {
	// Version is the version of the configuration after the change.
	Version uint64 `json:"version"`
}

// States of a retirement.
const (
	RetirementInProgress = "in_progress"
	RetirementCompleted  = "completed"
)

// RetireRequest asks that a store be emptied.
type RetireRequest struct {
	// DurationS is how long the operator allows for it, in seconds.
	DurationS float64 `json:"durationS"`
}

// Retirement is the state of a retirement.
type Retirement struct {
	// State is RetirementInProgress or RetirementCompleted.
	State string `json:"state"`
}

// ErrorBody is the body of all answers with an error status.
type ErrorBody struct {
	// Error says why the call was not carried out.
	Error string `json:"error"`
}
