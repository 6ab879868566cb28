// Package fault defines the kinds of errors of the serving tier, a closed list, and the HTTP response that a caller
// gets for each kind.
//
// New and Wrap attach a kind to an error. The error keeps it when it is wrapped further, including by fmt.Errorf with
// %w. KindOf returns the kind; errors.Is and errors.As match the wrapped errors as usual.
package fault

import (
	"net/http"

	"github.com/ansel1/merry/v2"
)

// Kind classifies an error by the response that the caller gets.
type Kind uint8

// The kinds of errors. The comments describe the request that fails with an error of the kind.
const (
	// Internal is the kind of any error without another kind.
	Internal Kind = iota
	// BadRequest: the request is not valid in its protocol.
	BadRequest
	// InvalidConfiguration: the operator's configuration document is not valid.
	InvalidConfiguration
	// Unauthorized: the request carries no known API key.
	Unauthorized
	// RouteNotFound: the request matches no route.
	RouteNotFound
	// NotFound: the request names an object that does not exist.
	NotFound
	// BodyTooLarge: the body exceeds the limit.
	BodyTooLarge
	// HeaderTooLarge: the header exceeds the limit.
	HeaderTooLarge
	// RequestTimeout: the request was not received completely within the time limit.
	RequestTimeout
	// QuotaExceeded: the request exceeds what its tenant may send or have queued. It was not executed and will not be.
	QuotaExceeded
	// Overloaded: no backend or store may accept the request. It was not executed and will not be.
	Overloaded
	// NotReady: the node must not process requests at present, because it has no proof that its state is current, has
	// no view, or is draining. The request was not executed and will not be.
	NotReady
	// VersionConflict: the request is based on a version that is not the current one.
	VersionConflict
	// Conflict: the request is not possible in the current state.
	Conflict
	// UpstreamFailed: the request was sent to a backend, which failed. It may have been executed.
	UpstreamFailed
	// UpstreamTimeout: the request was sent to a backend and its time limit has passed. It may have been executed.
	UpstreamTimeout
	// Unclear: the request may or may not have been executed; nothing is guaranteed.
	Unclear

	kindCount
)

// kindNames are the names of the kinds in metrics and logs.
var kindNames = [kindCount]string{
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

// String returns the name of the kind in metrics and logs, that of Internal if the kind is unknown.
func (k Kind) String() string {
	if k >= kindCount {
		return kindNames[Internal]
	}
	return kindNames[k]
}

// Kinds returns all kinds.
func Kinds() []Kind {
	all := make([]Kind, kindCount)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// Response describes the HTTP response to a request that failed with an error of a kind.
type Response struct {
	Status int
	// NotExecuted guarantees that the request was not executed and never will be. Only such responses may name a time
	// to retry.
	NotExecuted bool
}

var responses = [kindCount]Response{
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

// ResponseFor returns the response for a kind, that for Internal if the kind is unknown.
func ResponseFor(kind Kind) Response {
	if kind >= kindCount {
		kind = Internal
	}
	return responses[kind]
}

// kindKey is the key of the kind among the values of an error.
type kindKey struct{}

// New returns an error of a kind, with a formatted message.
func New(kind Kind, format string, arguments ...any) error {
	return Wrap(kind, merry.Errorf(format, arguments...))
}

// Wrap returns err with the given kind, which replaces any kind that err has. It returns nil if err is nil.
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
