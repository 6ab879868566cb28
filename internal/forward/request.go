package forward

import (
	"net/http"
	"time"
)

// Request is a request to a backend. Do does not change it, so it may be sent again.
type Request struct {
	Method string
	// Target is the path and query exactly as received.
	Target string
	Host   string
	// Header holds the client's header fields. Not forwarded are those that concern one connection, the API key, and those
	// that this package sets itself.
	Header http.Header
	Body   []byte
	// AttemptID is sent as Nickelline-Attempt-Id, and the response must carry it.
	AttemptID string
	// Tenant is sent as Nickelline-Tenant-Name. If it is empty, no such field is sent.
	Tenant string
	// LastEventID, if set, asks the backend to continue a stream after that event. It replaces the Last-Event-Id of Header.
	LastEventID string
	// Deadline is when the response must be complete. The backend is sent the remaining time.
	Deadline time.Time
}
