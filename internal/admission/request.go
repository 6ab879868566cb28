package admission

import "time"

// Load is what a backend reports of itself with an answer, in requests.
type Load struct{ Running, Waiting, Slots int }

// Request is what admission needs to know of a request.
type Request struct {
	// Batch marks batch work, which is shed first.
	Batch bool
	// Urgent batch work may go to another zone while the backends of the own zone still read the prompts of others.
	Urgent bool
	// Priority is the request's rank; 0 is the most urgent.
	Priority int
	// Tokens is the size of the request in tokens; 0: not known.
	Tokens int
	// Prefix holds the ids of the segments of the prompt, in their order. Ids that no other request has do no harm.
	Prefix []string
	// Exclude, if set, rules out backends by id, such as those that this request has already been sent to.
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
	// Failed is a connection that failed, an answer that broke off, or one that reports a failure of the backend itself.
	Failed
	// TimedOut is an attempt without an answer by its deadline.
	TimedOut
	// Cancelled says nothing about the backend: the client left.
	Cancelled
)

// Refusal says that no backend may take a request now.
type Refusal struct {
	// RetryAfter is when a new attempt has good prospects.
	RetryAfter time.Duration
}

// class separates live requests, which have precedence, from batch work.
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
