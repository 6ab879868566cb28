package admission

import "time"

// Load is the load that a backend reports with a response: its running and its waiting requests, and its slots (0: not
// reported).
type Load struct{ Running, Waiting, Slots int }

// Request holds the properties of a request that admission depends on.
type Request struct {
	// Batch marks batch work, which is shed first.
	Batch bool
	// Urgent marks batch work that may go to another zone while the backends of the local zone have too many unanswered
	// requests.
	Urgent bool
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// Tokens is the size of the request in tokens; 0: not known.
	Tokens int
	// Prefix holds the ids of the segments of the prompt, in their order. Ids that no other request has are ignored.
	Prefix []string
	// Exclude, if set, reports whether a backend may not receive the request, such as one that has already received it.
	Exclude func(id string) bool
}

// Outcome is the result of an attempt to send a request to a backend.
type Outcome int

// The outcomes of attempts.
const (
	// OK means that the response is complete.
	OK Outcome = iota
	// Full means that the backend refused the request and did not run it.
	Full
	// Failed means that the connection failed, the response broke off, or the response reports a failure of the backend.
	Failed
	// TimedOut means that there was no response by the deadline of the attempt.
	TimedOut
	// Cancelled means that the client left, which says nothing about the backend.
	Cancelled
)

// Refusal means that no backend may receive the request now.
type Refusal struct {
	// RetryAfter is the time after which a new attempt is likely to succeed.
	RetryAfter time.Duration
}

// class is the class of a request: live requests have precedence over batch work.
type class int

const (
	live class = iota
	batch
	classes
)

func classOf(r *Request) class {
	if r.Batch {
		return batch
	}
	return live
}
