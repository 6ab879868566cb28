// Package controlapi defines the operator's HTTP API of the control role: the paths, headers and JSON bodies that the server
// (package control) and the client (package operator) share. The JSON names are a public interface and must not change.
package controlapi

// Paths of the API. RetirePath is followed by the name of a node.
const (
	ConfigurationPath = "/-/configuration"
	RetirePath        = "/-/retire/"
	StatusPath        = "/-/status"
)

// MatchHeader is the request header with the version that a change of the configuration builds on.
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

// RetireRequest requests that a store be emptied.
type RetireRequest struct {
	// DurationS is how long the operator allows for it, in seconds.
	DurationS float64 `json:"durationS"`
}

// Retirement is the state of a retirement.
type Retirement struct {
	// State is RetirementInProgress or RetirementCompleted.
	State string `json:"state"`
}

// ErrorBody is the body of all responses with an error status.
type ErrorBody struct {
	// Error says why the call was not carried out.
	Error string `json:"error"`
}
