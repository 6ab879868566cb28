package decide

import "time"

// Report is a backend's own account of its load. It lags and is approximate.
type Report struct {
	InFlight, Queue       float64 // requests held; requests waiting
	HasInFlight, HasQueue bool
	Utilisation           float64 // 0 if absent
	ServiceTime           time.Duration
	Rate, ErrorRate       float64 // per second
}

// BackendState is what discovery says of a backend.
type BackendState int

const (
	// Ready backends take requests.
	Ready BackendState = iota
	// Draining backends finish what they have.
	Draining
	// Gone backends have been removed.
	Gone
)

// Backend is an entry of the backend list.
type Backend struct {
	ID        BackendID
	Zone      string
	Kind      string // machine kind
	Cell      int    // group of backends that may share idempotency keys (ScopeCell)
	State     BackendState
	Size      float64 // no unit; meaningful only relative to other backends
	StartedAt Time    // 0: long ago
}

// Event is an input of Module.Handle. The types with the method event are the only implementations.
type Event interface{ event() }

// ListKind is the form of a ListUpdate.
type ListKind int

const (
	// ListChanges holds only the changed entries.
	ListChanges ListKind = iota
	// ListFull holds all entries; a backend that is missing is gone.
	ListFull
	// ListCached is a full list from this node's cache; it may be outdated.
	ListCached
	// ListFailed has no entries: a call failed or the subscription broke.
	ListFailed
)

// OutcomeCode is how an attempt or a probe ended.
type OutcomeCode int

const (
	// OK means that the request was served.
	OK OutcomeCode = iota
	// BackendError means that the backend failed; the request may have run.
	BackendError
	// Full means that the backend had no room and rejected the request without processing it.
	Full
	// TimedOut means that no answer came in time; the request may have run or may still be running.
	TimedOut
	// ConnectFailed means that the request was never sent.
	ConnectFailed
	// Reset means that the connection broke; the request may have run.
	Reset
	// Cancelled means that the node cancelled the attempt; the request may have run.
	Cancelled
	// NotSent means that the request was not sent: it was already over, or the node had no room.
	NotSent
)

// OutcomeCodes is the number of outcome codes.
const OutcomeCodes = int(NotSent) + 1

// The events.
type (
	// RequestArrived is a new request; the module owes it one final answer.
	RequestArrived struct {
		ID       RequestID
		Class    string
		Tenant   string
		Key      string
		Patience time.Duration // until the client gives up on this try
		WorkHint time.Duration // expected work; valid if HasHint
		HasHint  bool
		Retry    bool // the client has tried before
		Write    bool
	}
	// ListUpdate is an update of the list of backends.
	ListUpdate struct {
		Kind    ListKind
		Version uint64
		Entries []Backend
	}
	// AttemptEnded is the outcome of one attempt. Each Send has exactly one.
	AttemptEnded struct {
		ID              RequestID
		Attempt         int
		Backend         BackendID
		RequestAnswered bool // the request already has its final answer
		Elapsed         time.Duration
		Code            OutcomeCode
		Report          *Report // nil if none came
		NewConnection   bool    // first on its connection; a full connection table rejects such attempts
	}
	// StreamStarted reports that a streamed answer has begun.
	StreamStarted struct {
		ID      RequestID
		Attempt int
		Backend BackendID
		Elapsed time.Duration
	}
	// RequestAbandoned reports that the client is gone and that no answer is owed.
	RequestAbandoned struct{ ID RequestID }
	// ProbeEnded is the result of a Probe.
	ProbeEnded struct {
		Backend BackendID
		Code    OutcomeCode
		Elapsed time.Duration
		Report  *Report
	}
	// MessageReceived is a message from another node.
	MessageReceived struct {
		From int
		Data []byte
	}
	// TimerFired is the expiry of a timer set with SetTimer.
	TimerFired struct{ Token int64 }
)

func (RequestArrived) event()   {}
func (ListUpdate) event()       {}
func (AttemptEnded) event()     {}
func (StreamStarted) event()    {}
func (RequestAbandoned) event() {}
func (ProbeEnded) event()       {}
func (MessageReceived) event()  {}
func (TimerFired) event()       {}
