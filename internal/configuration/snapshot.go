package configuration

import (
	"time"
)

// Kind is the kind of a route: whether its requests may be repeated and how they are answered.
type Kind uint8

// The kinds of routes.
const (
	// NonIdempotent requests run once at most for each try. It is also the kind of routes whose kind is not known.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered with a series of events.
	Streaming
	// Batch routes take batch jobs.
	Batch
)

var kindNames = map[string]Kind{
	"non_idempotent":   NonIdempotent,
	"idempotent":       Idempotent,
	"streaming":        Streaming,
	"batch_processing": Batch,
}

// String returns the name that the kind has in the document.
func (k Kind) String() string {
	for name, kind := range kindNames {
		if kind == k {
			return name
		}
	}
	return "unknown"
}

// Snapshot is one version of the configuration, compiled for use. It is immutable.
type Snapshot struct {
	Version uint64
	// Routes, Services and Tenants stand in the order of the document.
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

// Limits bound what a client may send, in bytes, and how long it may take or stay idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Route says where requests of a host and a path prefix go and how they are treated.
type Route struct {
	Name   string
	Host   string // in lower case, without a port
	Prefix string
	Kind   Kind
	// Timeout is the longest that a request may take.
	Timeout time.Duration
	// TargetLatency is the time within which an answer (of a stream the first event, of a batch job the 202) has full value.
	TargetLatency time.Duration
	// GapTarget is the longest pause between the events of a stream that keeps it in time.
	GapTarget time.Duration
	// CompletionTarget is the time after the submission of a batch job by which its results are due.
	CompletionTarget time.Duration
	// Retention is the time after the submission of a batch job at which an item may be abandoned.
	Retention time.Duration
	// Priority is the rank of requests, 0 the highest. A tenant's own takes precedence.
	Priority int
	// Split holds the services with weights above 0.
	Split []WeightedService
	// MaxAttempts is the greatest number of backends that may run one request, at least 1.
	MaxAttempts int
	// Public routes take requests without a key.
	Public          bool
	SessionAffinity bool
	// Resumable streams may be continued at another backend.
	Resumable bool
	// MaxQueuedTokens is how many tokens a tenant may have waiting on the route; 0: no limit.
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
	// ConnectionLimit is how many connections a backend accepts from all callers together; 0: not known.
	ConnectionLimit int
	// Engine is nil for services that are no language models.
	Engine *Engine
}

// Engine describes the language-model engine of a service's backends.
type Engine struct {
	CapacitySlots      int
	CacheTokenCapacity int64
	TokenSizeBytes     int64
	// Stride is how many tokens one event may carry.
	Stride int
	Models []string
}

// Tenant is a caller that holds API keys.
type Tenant struct {
	Name string
	Keys []string
	// Priority takes precedence over a route's where HasPriority is true.
	Priority    int
	HasPriority bool
	// RatePerSecond is how many requests the tenant may send; 0: no limit.
	RatePerSecond float64
	Burst         float64
}

// Limited reports whether the tenant's requests are counted.
func (t *Tenant) Limited() bool { return t.RatePerSecond > 0 }
