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

// Sender sends one request to one backend. It is a *forward.Client.
type Sender interface {
	Do(ctx context.Context, b discovery.Backend, r *forward.Request) (*forward.Response, *forward.Failure)
}

// QuotaLimiter counts requests against the quotas of tenants. It is a *quota.Limiter.
type QuotaLimiter interface {
	Take(ctx context.Context, tenant *configuration.Tenant) error
	// Refund returns what Take has taken for a request that did not run.
	Refund(tenant *configuration.Tenant)
}

// Options set up a Proxy.
type Options struct {
	// Configuration returns the current configuration, nil before there is one.
	Configuration func() *configuration.Snapshot
	// ProofAge returns the age of the proof that the configuration was current.
	ProofAge func() time.Duration
	// MaxProofAge is how old that proof may be for requests with keys; 0: the age is not checked.
	MaxProofAge time.Duration
	// BackendsKnown reports whether there is a list of backends.
	BackendsKnown func() bool
	// Selector selects the backend of each attempt.
	Selector Selector
	// Loads exchanges loads with other nodes; nil: loads are not exchanged.
	Loads Loads
	// Sender sends each attempt.
	Sender Sender
	// Quota counts requests; nil: they are not counted.
	Quota QuotaLimiter
	// Batch serves the calls about batch jobs; nil: they are answered 503.
	Batch BatchAPI
	// Grace is how long after the beginning of a drain the process may go on.
	Grace time.Duration
	// Connections is the greatest number of client connections at one time.
	Connections int
	Log         *zap.Logger
}

// Proxy serves clients. It is safe for concurrent use.
type Proxy struct {
	options   Options
	clients   *server
	readiness *server // for the platform's health checks
	draining  atomic.Bool
	counters  *counters
	// drainNotice is how long a drain goes on serving new requests.
	drainNotice time.Duration
}

// New returns a proxy that serves clients at one listener, and the platform's readiness checks at another.
func New(clients, readiness *net.TCPListener, o Options) *Proxy {
	p := &Proxy{options: o, drainNotice: defaultDrainNotice, counters: newCounters()}
	p.clients = newServer(serverOptions{
		listener:       clients,
		handle:         p.serve,
		maxConnections: o.Connections,
		limits:         p.limits,
		draining:       &p.draining,
		onError:        func(kind fault.Kind) { p.counters.errors[kind].Add(1) },
		log:            o.Log,
	})
	p.readiness = newServer(serverOptions{
		listener:       readiness,
		handle:         p.answerReadiness,
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

// Close ends at once: connections are closed, also those with a request.
func (p *Proxy) Close() {
	p.clients.close()
	p.readiness.close()
}

// Ready reports whether the node can serve.
func (p *Proxy) Ready() bool {
	if p.draining.Load() || !p.options.BackendsKnown() {
		return false
	}
	snapshot, err := p.snapshot()
	if err != nil {
		return false
	}
	return !snapshot.RequiresKey() || p.checkProof() == nil
}

// limits returns the limits of clients.
func (p *Proxy) limits() configuration.Limits {
	limits := defaultLimits
	snapshot := p.options.Configuration()
	if snapshot == nil {
		return limits
	}
	if n := snapshot.Limits.MaxHeaderBytes; n > 0 {
		limits.MaxHeaderBytes = n
	}
	if n := snapshot.Limits.MaxBodyBytes; n > 0 {
		limits.MaxBodyBytes = n
	}
	if d := snapshot.Limits.HeaderTimeout; d > 0 {
		limits.HeaderTimeout = d
	}
	if d := snapshot.Limits.IdleTimeout; d > 0 {
		limits.IdleTimeout = d
	}
	return limits
}
