// Package batch is the replicated state of the batch jobs of one partition: a deterministic state machine that a chain
// applies committed commands to. It does no I/O, starts no goroutines and reads no clock.
//
// Invariants:
//   - a job is taken once: the same identifier of the same tenant again is answered as taken;
//   - an item stands at one position of its job at most, and a position never changes;
//   - what is listed stays listed until the job is dropped, and a job is dropped only when it is closed;
//   - the tokens of a tenant's waiting items on a route are within the bound that the command named when a job was taken.
package batch

import "time"

// Key identifies a job: identifiers of different tenants are apart.
type Key struct {
	Tenant     string
	Identifier string
}

// Header is a header of an item's request.
type Header struct {
	Name  string
	Value string
}

// Item is one request of a job.
type Item struct {
	Identifier string
	Path       string
	Headers    []Header
	Body       []byte
	Tokens     int64
}

// Job is a set of items that are submitted together.
type Job struct {
	Key   Key
	Route string
	Host  string
	Items []Item
}

// Tokens is the sum of the tokens of the job's items.
func (j *Job) Tokens() int64 {
	var sum int64
	for i := range j.Items {
		sum += j.Items[i].Tokens
	}
	return sum
}

// State is how far an item has come.
type State uint8

// The states of an item.
const (
	Waiting State = iota
	Completed
	Abandoned
)

// Result is the end of an item, to be listed at the next position of its job, or a checkpoint of one that runs.
type Result struct {
	Key     Key
	Index   uint32 // of the item in its job
	State   State  // Completed or Abandoned; Waiting for a checkpoint
	Content []byte // a block of package deflated: the text behind the first From events
	From    uint32 // how many events of earlier checkpoints the text continues behind
	// Events and LastEvent tell of a checkpoint how many events the text has, and the id of the last one.
	Events    uint32
	LastEvent string
}

// ClockReading is what a steady clock shows: the time since its source began. Readings of different sources are not compared.
type ClockReading struct {
	Source  uint64
	Elapsed time.Duration
}

// Command is a change of the state. Exactly one of its pointers and lists is set, or none: that only moves the clock.
type Command struct {
	Clock  ClockReading
	Submit *Submit
	Append []Result
	End    *Key
	Drop   []Key
}

// Submit is the command to take a job.
type Submit struct {
	Job Job
	// MaxQueuedTokens is what the tenant may have waiting on the route, this job included. 0 sets no limit.
	MaxQueuedTokens int64
}

// Offer is what has to be known of a job to tell whether it would be taken.
type Offer struct {
	Key    Key
	Route  string
	Tokens int64
	// MaxQueuedTokens is what the tenant may have waiting on the route, this job included. 0 sets no limit.
	MaxQueuedTokens int64
}

// Offer is the offer of the job that is to be taken.
func (t *Submit) Offer() Offer {
	return Offer{Key: t.Job.Key, Route: t.Job.Route, Tokens: t.Job.Tokens(), MaxQueuedTokens: t.MaxQueuedTokens}
}

// Outcome is the result of a command.
type Outcome uint8

// The outcomes of commands.
const (
	// Done is the outcome of every command that is not refused.
	Done Outcome = iota
	// QuotaExceeded refuses a job: nothing of it was taken.
	QuotaExceeded
	// Malformed is a command that could not be read. It changed nothing.
	Malformed
)

// Observer is told what a command changed, while it is applied.
type Observer interface {
	// Submitted is told that a job's items wait.
	Submitted(key Key)
	// Listed is told that results were added to a job.
	Listed(key Key)
	// Ended is told that a job was ended: none of its items may run.
	Ended(key Key)
	// Restored is told that the whole state was replaced.
	Restored()
}
