package proxy

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/configuration"
	"nickelline/internal/discovery"
	"nickelline/internal/fault"
	"nickelline/internal/forward"
)

// Sender sends one request to one backend. *forward.Client implements it.
type Sender interface {
	Do(ctx context.Context, b discovery.Backend, r *forward.Request) (*forward.Response, *forward.Failure)
}

// QuotaLimiter counts requests against the quotas of tenants. *quota.Limiter implements it.
type QuotaLimiter interface {
	Take(ctx context.Context, tenant *configuration.Tenant) error
	// Refund puts back what Take has taken at a time for a request that was not executed.
	Refund(tenant *configuration.Tenant, takenAt time.Time)
}

// Options configure a Proxy.
type Options struct {
	// Configuration returns the current configuration, or nil before the first one is known.
	Configuration func() *configuration.Current
	// MaxProofAge is the maximum age of the proof of the configuration at which API keys are still accepted; 0: the age is not
	// checked.
	MaxProofAge time.Duration
	// BackendsKnown reports whether the list of backends is known.
	BackendsKnown func() bool
	// Selector selects the backend of each attempt.
	Selector Selector
	// Loads exchanges backend loads with other nodes; nil: loads are not exchanged.
	Loads Loads
	// Sender sends each attempt.
	Sender Sender
	// Quota enforces the quotas of tenants; nil: they are not enforced.
	Quota QuotaLimiter
	// Batch serves the batch API; nil: its requests are answered 503.
	Batch BatchAPI
	// GracePeriod is how long the process may run after a drain has begun.
	GracePeriod time.Duration
	// MaxConnections is the maximum number of concurrent client connections.
	MaxConnections int
	Log            *zap.Logger
}

// Proxy serves clients. It is safe for concurrent use.
type Proxy struct {
	options   Options
	clients   *server
	readiness *server // for the platform's health checks
	draining  atomic.Bool
	counters  *counters
	// drainDelay is how long a drain continues to accept new requests.
	drainDelay time.Duration
}

// New returns a proxy that serves clients on one listener and the platform's readiness checks on the other.
func New(clients, readiness *net.TCPListener, o Options) *Proxy {
	p := &Proxy{options: o, drainDelay: defaultDrainDelay, counters: newCounters()}
	p.clients = newServer(serverOptions{
		listener:       clients,
		handle:         p.serve,
		maxConnections: o.MaxConnections,
		limits:         p.limits,
		draining:       &p.draining,
		onError:        func(kind fault.Kind) { p.counters.errors[kind].Add(1) },
		log:            o.Log,
	})
	p.readiness = newServer(serverOptions{
		listener:       readiness,
		handle:         p.serveReadiness,
		maxConnections: readinessConnections,
		limits:         p.limits,
		draining:       &p.draining,
		log:            o.Log,
	})
	return p
}

// Serve accepts connections until Drain has ended or Close is called.
func (p *Proxy) Serve() error {
	failed := make(chan error, 1)
	go func() { failed <- p.readiness.serve() }()
	if err := p.clients.serve(); err != nil {
		return err
	}
	return <-failed
}

// Close stops the proxy immediately. It closes all connections, including those with a request in flight.
func (p *Proxy) Close() {
	p.clients.close()
	p.readiness.close()
}

// Ready reports whether the node can serve requests and is not draining.
func (p *Proxy) Ready() bool {
	if p.draining.Load() || !p.options.BackendsKnown() {
		return false
	}
	current, err := p.configuration()
	if err != nil {
		return false
	}
	return !current.RequiresKey() || p.checkProof(current) == nil
}

// limits returns the limits that the configuration sets for clients, and the default for each that it does not set.
func (p *Proxy) limits() configuration.Limits {
	limits := defaultLimits
	current := p.options.Configuration()
	if current == nil {
		return limits
	}
	if n := current.Limits.MaxHeaderBytes; n > 0 {
		limits.MaxHeaderBytes = n
	}
	if n := current.Limits.MaxBodyBytes; n > 0 {
		limits.MaxBodyBytes = n
	}
	if d := current.Limits.HeaderTimeout; d > 0 {
		limits.HeaderTimeout = d
	}
	if d := current.Limits.IdleTimeout; d > 0 {
		limits.IdleTimeout = d
	}
	return limits
}
