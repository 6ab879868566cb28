package batch

import "time"

// Key identifies a job. Each tenant has identifiers of its own.
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

// RouteRef identifies the route on which a job was accepted. It is stored with the job: the path of an item does not tell the route
// again once the configuration has changed.
type RouteRef struct {
	Name string
	// Host and Prefix are those of the route at the time. They identify it if it is renamed.
	Host   string
	Prefix string
}

// Terms are what the route of a job granted its items when the job was accepted. The zero value grants nothing.
type Terms struct {
	// Retention is the age of the job before which no item is abandoned because of its age.
	Retention time.Duration
	// MaxAttempts is the number of failures before which no item is abandoned because it failed.
	MaxAttempts int
}

// Job is a sequence of items that are submitted together.
type Job struct {
	Key   Key
	Route RouteRef
	Terms Terms
	Items []Item
}

// Tokens returns the sum of the tokens of the job's items.
func (j *Job) Tokens() int64 {
	var sum int64
	for i := range j.Items {
		sum += j.Items[i].Tokens
	}
	return sum
}

// State is the progress of an item.
type State uint8

// The states of an item.
const (
	// Waiting items are queued or running.
	Waiting State = iota
	// Completed items have a result.
	Completed
	// Abandoned items were given up and have no result.
	Abandoned
)

// Result is either the result of an item, to be listed at the next position of its job, or a checkpoint of a running item.
type Result struct {
	Key     Key
	Index   uint32 // of the item in its job
	State   State  // Completed or Abandoned; Waiting for a checkpoint
	Content []byte // a block of package deflated: the text after the first From events
	From    uint32 // number of events in the checkpoints that the text continues
	// Events is the number of events in the text up to a checkpoint.
	Events uint32
	// LastEvent is the id of the last event up to a checkpoint.
	LastEvent string
}

// Failure records how many attempts of an item backends have responded to with an internal server error, so that the next head of the
// partition counts on.
type Failure struct {
	Key          Key
	Index        uint32 // of the item in its job
	ServerErrors uint32 // the attempts of all heads
}

// ClockReading is the time that a monotonic clock has measured since its source began. Readings of different sources cannot
// be compared.
type ClockReading struct {
	Source  uint64
	Elapsed time.Duration
}

// Command is a change of the state. At most one of its pointers and lists is set. A command with none set only
// advances the clock.
type Command struct {
	Clock  ClockReading
	Submit *Submit
	Append []Result
	End    *Key
	Drop   []Key
	Fail   []Failure
}

// Submit is the command to accept a job.
type Submit struct {
	Job Job
	// MaxQueuedTokens limits the tokens that the tenant may have queued on the route, this job included. 0 sets no limit.
	MaxQueuedTokens int64
}

// Offer holds the properties of a job on which its acceptance depends.
type Offer struct {
	Key    Key
	Route  string
	Tokens int64
	// MaxQueuedTokens limits the tokens that the tenant may have queued on the route, this job included. 0 sets no limit.
	MaxQueuedTokens int64
}

// Offer returns the offer of the job.
func (s *Submit) Offer() Offer {
	return Offer{Key: s.Job.Key, Route: s.Job.Route.Name, Tokens: s.Job.Tokens(), MaxQueuedTokens: s.MaxQueuedTokens}
}

// Outcome is the result of a command.
type Outcome uint8

// The outcomes of commands.
const (
	// Done is the outcome of every command that was applied.
	Done Outcome = iota
	// QuotaExceeded is the outcome of a Submit whose tokens exceed the quota. It changed nothing.
	QuotaExceeded
	// Malformed is the outcome of a command that could not be decoded. It changed nothing.
	Malformed
)

// Observer is notified of changes while a command is applied. Its methods must not call the machine.
type Observer interface {
	// Submitted is called when a job was accepted, so that its items have to run.
	Submitted(key Key)
	// Listed is called when results of a job were listed.
	Listed(key Key)
	// Ended is called when a job was ended, so that none of its items may run any more.
	Ended(key Key)
	// Restored is called when the whole state was replaced.
	Restored()
}
