// Package fault defines the closed list of kinds of errors of the serving tier, and the answer that a caller gets for each kind.
//
// An error gets its kind from New or Wrap, and keeps it when it is wrapped further, also by fmt.Errorf with %w. KindOf returns
// the kind; errors.Is and errors.As match the wrapped errors as usual.
package fault

import (
	"net/http"

	"github.com/ansel1/merry/v2"
)

// Kind classifies an error by the answer that the caller gets.
type Kind uint8

// The kinds of errors.
const (
	// Internal is the kind of any error that has no other.
	Internal Kind = iota
	// BadRequest cannot be read as a request of the protocol.
	BadRequest
	// InvalidConfiguration breaks a rule of the operator's document.
	InvalidConfiguration
	// Unauthorized carries no known API key.
	Unauthorized
	// RouteNotFound matches no route.
	RouteNotFound
	// NotFound names an object that does not exist.
	NotFound
	// BodyTooLarge has a body over the limit.
	BodyTooLarge
	// HeaderTooLarge has a header over the limit.
	HeaderTooLarge
	// RequestTimeout was not received completely within the time limit.
	RequestTimeout
	// QuotaExceeded is beyond what its tenant may send or have queued. It was not executed and will not be.
	QuotaExceeded
	// Overloaded found no backend or store that may accept it. It was not executed and will not be.
	Overloaded
	// NotReady reached a node that may not act now (no proof that its state is current, no view, a drain). It was not executed
	// and will not be.
	NotReady
	// VersionConflict builds on a version that is not the current one.
	VersionConflict
	// Conflict cannot be done in the present state.
	Conflict
	// UpstreamFailed was sent to a backend and may have been executed.
	UpstreamFailed
	// UpstreamTimeout was sent to a backend, may have been executed, and its time limit is over.
	UpstreamTimeout
	// Unclear may or may not have been executed: nothing is guaranteed.
	Unclear

	kinds
)

// kindNames are the names of the kinds in metrics and logs.
var kindNames = [kinds]string{
	Internal:             "internal",
	BadRequest:           "bad request",
	InvalidConfiguration: "invalid configuration",
	Unauthorized:         "unauthorized",
	RouteNotFound:        "route not found",
	NotFound:             "not found",
	BodyTooLarge:         "body too large",
	HeaderTooLarge:       "header too large",
	RequestTimeout:       "request timeout",
	QuotaExceeded:        "quota exceeded",
	Overloaded:           "overloaded",
	NotReady:             "not ready",
	VersionConflict:      "version conflict",
	Conflict:             "conflict",
	UpstreamFailed:       "upstream failed",
	UpstreamTimeout:      "upstream timeout",
	Unclear:              "unclear",
}

// String returns the kind's name in metrics and logs.
func (k Kind) String() string {
	if k >= kinds {
		return kindNames[Internal]
	}
	return kindNames[k]
}

// Kinds returns all kinds.
func Kinds() []Kind {
	all := make([]Kind, kinds)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// Answer is the HTTP answer to a request that failed with an error of a kind.
type Answer struct {
	Status int
	// NotExecuted guarantees that the request was not executed and never will be: only such answers may name a time to retry.
	NotExecuted bool
}

var answers = [kinds]Answer{
	Internal:             {Status: http.StatusInternalServerError},
	BadRequest:           {Status: http.StatusBadRequest},
	InvalidConfiguration: {Status: http.StatusBadRequest},
	Unauthorized:         {Status: http.StatusUnauthorized},
	RouteNotFound:        {Status: http.StatusNotFound},
	NotFound:             {Status: http.StatusNotFound},
	BodyTooLarge:         {Status: http.StatusRequestEntityTooLarge},
	HeaderTooLarge:       {Status: http.StatusRequestHeaderFieldsTooLarge},
	RequestTimeout:       {Status: http.StatusRequestTimeout, NotExecuted: true},
	QuotaExceeded:        {Status: http.StatusTooManyRequests, NotExecuted: true},
	Overloaded:           {Status: http.StatusServiceUnavailable, NotExecuted: true},
	NotReady:             {Status: http.StatusServiceUnavailable, NotExecuted: true},
	VersionConflict:      {Status: http.StatusPreconditionFailed},
	Conflict:             {Status: http.StatusConflict},
	UpstreamFailed:       {Status: http.StatusBadGateway},
	UpstreamTimeout:      {Status: http.StatusGatewayTimeout},
	Unclear:              {Status: http.StatusGatewayTimeout},
}

// AnswerOf returns the answer for a kind, that for Internal if the kind is unknown.
func AnswerOf(kind Kind) Answer {
	if kind >= kinds {
		kind = Internal
	}
	return answers[kind]
}

// kindKey is the key of the kind among the values of an error.
type kindKey struct{}

// New returns an error of a kind, with a formatted message.
func New(kind Kind, format string, arguments ...any) error {
	return Wrap(kind, merry.Errorf(format, arguments...))
}

// Wrap returns an error with a kind, in place of the one that it may have. It returns nil for nil.
func Wrap(kind Kind, err error) error {
	if err == nil {
		return nil
	}
	return merry.Wrap(err, merry.WithValue(kindKey{}, kind), merry.NoCaptureStack())
}

// KindOf returns the kind of an error, Internal if it has none.
func KindOf(err error) Kind {
	kind, _ := merry.Value(err, kindKey{}).(Kind)
	return kind
}
