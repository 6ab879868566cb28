// Package admission decides, in each node, which backend of a service gets a request, or that the request is refused.
//
// It is the hysteretic overload control of the design: each backend is normal, overloaded or blocking by its count of
// requests and three thresholds; requests go to the better of two random normal backends; when there is none, a part
// of the requests is shed, batch work first; blocking backends get nothing. A Pool reads no clock and does no I/O: the
// caller hands in the time.
//
// A backend's count is what this node has there plus what the backend last told of the others' requests. Thresholds
// follow from its slots, and come down where answers take long in spite of free slots. Batch work has thresholds of its
// own, below those of live requests, as most nodes see only one of the two kinds.
package admission

import "time"

// Load is what a backend told of itself with an answer.
type Load struct{ Running, Waiting, Slots int }

// Request is what admission has to know of a request.
type Request struct {
	// Batch marks batch work, which is shed first.
	Batch bool
	// Urgent batch work may go to another zone while the own one's backends still read the prompts of others.
	Urgent bool
	// Priority is the request's rank; 0 is the most urgent.
	Priority int
	// Tokens is the size of the request in tokens; 0: not known.
	Tokens int
	// Prefix holds the ids of the parts of the prompt, in their order. Parts that no other request has do no harm.
	Prefix []string
	// Exclude, if set, rules out backends, such as those that this request has already been sent to.
	Exclude func(id string) bool
}

// Outcome is how an attempt at a backend ended.
type Outcome int

// The outcomes of attempts.
const (
	// OK is a complete answer of the backend.
	OK Outcome = iota
	// Full is a refusal of the backend, which did not run the request.
	Full
	// Failed is a connection that failed, an answer that broke off, or one that tells of the backend's own failure.
	Failed
	// TimedOut is silence.
	TimedOut
	// Cancelled tells nothing of the backend: the client left.
	Cancelled
)

// Refusal says that no backend may take a request now.
type Refusal struct {
	// RetryAfter is when a new try has good prospects.
	RetryAfter time.Duration
}

// class tells live requests, which have precedence, from batch work.
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
