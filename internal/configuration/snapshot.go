package configuration

import (
	"time"
)

// Kind is the kind of a route: whether its requests may be repeated and how they are answered.
type Kind uint8

// The kinds of routes.
const (
	// NonIdempotent requests run at most once each time the client sends them. Routes of an unknown kind are of this kind.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered with a series of events.
	Streaming
	// Batch routes take batch jobs.
	Batch
)

var kindsByName = map[string]Kind{
	"non_idempotent":   NonIdempotent,
	"idempotent":       Idempotent,
	"streaming":        Streaming,
	"batch_processing": Batch,
}

// String returns the name that the kind has in the document.
func (k Kind) String() string {
	for name, kind := range kindsByName {
		if kind == k {
			return name
		}
	}
	return "unknown"
}

// Snapshot is one version of the configuration, compiled for lookups. It is immutable and safe for concurrent use.
type Snapshot struct {
	Version uint64
	// Routes, Services and Tenants are in the order of the document.
	Routes   []*Route
	Services []*Service
	Tenants  []*Tenant
	Limits   Limits

	hosts          map[string]*hostRoutes
	routesByName   map[string]*Route
	servicesByName map[string]*Service
	tenantsByKey   map[string]*Tenant
	tenantsByName  map[string]*Tenant
	hasTenants     bool
}

// Current is the configuration that a process uses, with the proof that it is the newest version.
type Current struct {
	*Snapshot
	// ProofAge returns the age of the latest proof that no newer version than this one existed.
	ProofAge func() time.Duration
}

// Limits bound what a client may send, in bytes, and how long it may take or stay idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Route defines which services requests with a host and a path prefix are sent to, and how they are handled.
type Route struct {
	Name   string
	Host   string // in lower case, without a port
	Prefix string
	Kind   Kind
	// Timeout is the longest that a request may take.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has full value. For a stream it is the time to the first event, for a
	// batch job the time to the 202.
	TargetLatency time.Duration
	// GapTarget is the longest pause between two events of a stream that still counts as on time.
	GapTarget time.Duration
	// CompletionTarget is how long after the submission of a batch job its results are due.
	CompletionTarget time.Duration
	// Retention is the time since the submission of a batch job after which its waiting items may be abandoned; 0: never.
	Retention time.Duration
	// Priority is the rank of the route's requests, 0 the highest. The priority of a tenant, if set, takes precedence.
	Priority int
	// Split holds the services with weights above 0.
	Split []WeightedService
	// MaxAttempts is the greatest number of backends that may run one request, at least 1.
	MaxAttempts int
	// Public routes accept requests without an API key.
	Public          bool
	SessionAffinity bool
	// Resumable streams may be continued by another backend.
	Resumable bool
	// MaxQueuedTokens is the greatest number of tokens that a tenant may have queued on the route; 0: no limit.
	MaxQueuedTokens int64
}

// Repeatable reports whether requests of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Batch || (r.Kind == Streaming && r.Resumable)
}

// WeightedService is a service and its share of a route's requests.
type WeightedService struct {
	Service *Service
	Weight  float64
}

// Service is a group of backends that run the same program.
type Service struct {
	Name       string
	HealthPath string
	// ConnectionLimit is the number of connections that a backend accepts from all callers together; 0: not known.
	ConnectionLimit int
	// Engine is nil for services that are not language models.
	Engine *Engine
}

// Engine describes the language-model engine of a service's backends.
type Engine struct {
	CapacitySlots      int
	CacheTokenCapacity int64
	TokenSizeBytes     int64
	// Stride is the greatest number of tokens that one event carries.
	Stride int
	Models []string
}

// Tenant is a caller that holds API keys.
type Tenant struct {
	Name string
	Keys []string
	// Priority takes precedence over that of a route if HasPriority is true.
	Priority    int
	HasPriority bool
	// RatePerSecond is the rate of requests that the tenant may send; 0: no limit.
	RatePerSecond float64
	// Burst is the number of requests that the tenant may send at once.
	Burst float64
}

// IsRateLimited reports whether the tenant has a limit on its rate of requests.
func (t *Tenant) IsRateLimited() bool { return t.RatePerSecond > 0 }
