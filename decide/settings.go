package decide

import "time"

// Time is a reading of the caller's monotonic clock. Its zero has no meaning.
type Time = time.Duration

// BackendID names a backend. It is opaque.
type BackendID uint32

// RequestID names one try of a client's request. It is opaque.
type RequestID string

// Effect says what a second execution of a request would do.
type Effect int

const (
	// Unsafe requests must never run twice.
	Unsafe Effect = iota
	// Keyed requests carry an idempotency key by which a group of backends drops repeats.
	Keyed
	// Safe requests may run any number of times.
	Safe
)

// Scope is the group of backends that share their records of idempotency keys.
type Scope int

const (
	// ScopeCell is one cell of backends.
	ScopeCell Scope = iota
	// ScopeZone is one zone.
	ScopeZone
	// ScopeAll is every backend.
	ScopeAll
)

// Class describes one kind of request.
type Class struct {
	Name          string
	Value         float64       // of one request
	Target        time.Duration // an answer within this time has full value
	TargetStretch float64       // the target grows by this many times the request's work
	Deadline      time.Duration // how long the client waits in total, over all its tries
	LateValue     float64       // share of the value that an answer past the target has
	Effect        Effect
	KeyScope      Scope         // for Keyed: the group that drops repeats
	DedupWindow   time.Duration // for Keyed: how long the group remembers a key
	Streamed      bool          // the answer is a stream
}

// Tenant is a customer with a guaranteed share.
type Tenant struct {
	Name  string
	Quota float64 // requests per second over all nodes, within its share
	Share float64 // of the service; the module does not use it
}

// Settings is the configuration that a node gets when it starts.
type Settings struct {
	Nodes   int    // how many nodes decide for these backends
	Self    int    // this node's number among them
	Zone    string // this node's zone
	Zones   []string
	Kinds   []string // machine kinds
	Classes []Class
	Tenants []Tenant

	MaxAttempts    int           // for one request
	MayOverlap     bool          // two attempts of a request may be in flight at once
	MayCancel      bool          // CancelAttempt is allowed
	MayProbe       bool          // Probe is allowed
	MayMessage     bool          // SendMessage is allowed
	MayRetryAfter  bool          // clients follow Refuse.RetryAfter
	MaxRetryAfter  time.Duration // the longest RetryAfter that clients follow
	MarksRetries   bool          // clients mark their retries
	ConnectTimeout time.Duration
	MinTick        time.Duration // minimum time between events
	ListOnRequest  bool          // list changes come only after Subscribe or FetchList
	SizeKnown      bool          // Backend.Size reflects the size of the machine
	SizeLive       bool          // Backend.Size falls as the backend fills
	OverShareValue float64       // share of its value that a request over its tenant's share keeps
	ValueByWork    bool          // value counts per unit of work, not per request
	ReportVia      ReportVia     // where load reports come from
	ReportFields   []string      // names of the values in them

	Family         string   // the kind of service
	Tier           int      // the tier that this node sends to, by its index in Tiers
	Tiers          []string // names of the tiers
	WarmKeys       bool     // a backend that served a key lately needs less work for it
	PassesDeadline bool     // a backend's calls to the next tier carry the request's remaining time
	StreamsPerConn int      // attempts that one connection carries at once
	ConnIdle       time.Duration
	MaxOpen        int           // requests that this node can have open
	CPUPerSecond   time.Duration // CPU time per second that this node may spend on decisions
	CPUPerRequest  time.Duration // CPU time for one request, outcomes included; 0: no limit
	Goal           Goal
	Penalties      Penalties

	AnswerSlack    time.Duration // a final answer this long past the deadline still counts
	MaxListAge     time.Duration // without a subscription, the list is fetched at least this often
	DrainGrace     time.Duration // sends to a backend must have stopped this long after it starts draining
	ColdStartShare float64       // least share of its full capacity that a backend has when it starts
	WarmUpTime     time.Duration // a backend is warm this long after its start
	OverloadFactor float64       // a cold backend falls over beyond this multiple of its current capacity
	OverloadTime   time.Duration // if the overload lasts this long
}

// Goal holds the weights of the parts of the overall score.
type Goal struct {
	Whole, WorstWindow, WorstClass, WorstTenant float64
}

// Penalties are the points deducted from the overall score, each times the quantity that its comment names.
type Penalties struct {
	Connection float64 // mean open connections to a backend, in hundreds
	Handshake  float64 // new connections per first try
	CrossZone  float64 // attempts that cross zones per first try
	Waste      float64 // backends' work that brought no answer, as a share of the offered work
	LateFail   float64 // value of requests that failed after their target
	Probe      float64 // probes per first try
	Message    float64 // bytes of messages between nodes per first try, in units of 256
	Moves      float64 // moves per first try
	Origin     float64 // fetches from the origin per first try
	ListLines  float64 // lines of the list of backends sent per first try, in hundreds
	Fleet      float64 // not in use
}

// ReportVia is the way load reports reach a node.
type ReportVia int

const (
	// ReportNone means that there are no reports.
	ReportNone ReportVia = iota
	// ReportProbe means that only probe results carry reports.
	ReportProbe
	// ReportAnswers means that outcomes of attempts carry reports too.
	ReportAnswers
)
