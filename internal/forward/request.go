package forward

import (
	"net/http"
	"time"
)

// Request is what is sent to a backend. Do does not change it, so it may be sent again.
type Request struct {
	Method string
	// Target is the path and query exactly as received.
	Target string
	Host   string
	// Header holds the client's header fields. Those that concern one connection, the key and those which the system
	// sets itself are omitted when it is sent.
	Header http.Header
	Body   []byte
	// AttemptID is sent as Nickelline-Attempt-Id, and the answer must carry it.
	AttemptID string
	// Tenant is sent as Nickelline-Tenant-Name; empty: no such field is sent.
	Tenant string
	// LastEventID, if set, asks a backend to continue a stream after that event. It replaces the one in Header.
	LastEventID string
	// Deadline is when the answer must be complete. The backend gets the time left.
	Deadline time.Time
}
