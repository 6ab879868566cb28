// Package proxy is the data plane of the serving tier: it takes clients' requests, decides by the configuration where they
// go, and passes the answers of backends on.
//
// A request is answered 429 or 503 only if it has not run and will not: such an answer is a promise. It is sent again only
// if it has not run, or if its route allows it to run more than once; and to so many backends at most as the route allows.
// An answer that breaks off ends with the connection, so that it does not look complete.
//
// Ingress is the HTTP/1.1 server of hertz on its standard transport, without hertz's router and engine: those rewrite
// paths, and their shutdown closes the listener first, which a drain must not. Both transports of hertz were tried on
// loopback. Either sees that a client closes, resets or half-closes its connection while a request is served, takes a body
// that is cut short for no request, and lets an answer end without its proper end. Netpoll alone sees a client leave that
// has sent a further request before; these clients do not. The standard transport is taken because it leaves the reading
// to the connection (see clientConn), which has to know whether anything of a request was read from it before it is closed
// in a drain; netpoll reads ahead by itself. A client that closes its sending side only is taken for one that leaves.
package proxy

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/admission"
	"nickelline/internal/configuration"
	"nickelline/internal/discovery"
	"nickelline/internal/fault"
	"nickelline/internal/forward"
)

// Sender sends one request to one backend. It is a *forward.Client.
type Sender interface {
	Do(ctx context.Context, b discovery.Backend, r *forward.Request) (*forward.Response, *forward.Failure)
}

// Ticket is the permission to send one request to one backend. It is an *admission.Ticket.
type Ticket interface {
	Report(now time.Time, load admission.Load)
	Started(now time.Time)
	Done(now time.Time, outcome admission.Outcome, load *admission.Load)
}

// PickFunc chooses the backend of a service for a request, or refuses it.
type PickFunc func(service string, now time.Time, r admission.Request) (discovery.Backend, Ticket, *admission.Refusal)

// PickFrom picks from the pools of services. A service without a pool has no backends.
func PickFrom(pool func(service string) *admission.Pool) PickFunc {
	return func(service string, now time.Time, r admission.Request) (discovery.Backend, Ticket, *admission.Refusal) {
		p := pool(service)
		if p == nil {
			return discovery.Backend{}, nil, &admission.Refusal{}
		}
		ticket, refusal := p.Pick(now, r)
		if refusal != nil {
			return discovery.Backend{}, nil, refusal
		}
		return ticket.Backend, ticket, nil
	}
}

// Loads tells admission what all nodes have at the backends of a service. It is a *load.Service.
type Loads interface {
	// Refresh returns when the newest figures are known, or soon.
	Refresh(ctx context.Context, service string)
	// Announce reports a request that has just been admitted to the other nodes.
	Announce(service string)
}

// QuotaLimiter takes a request out of a tenant's budget. It is a *quota.Limiter.
type QuotaLimiter interface {
	Take(ctx context.Context, tenant *configuration.Tenant) error
	// Refund returns what Take has taken for a request that did not run.
	Refund(tenant *configuration.Tenant)
}

// Options set up a Proxy.
type Options struct {
	// Configuration gives the current configuration, nil before there is one.
	Configuration func() *configuration.Snapshot
	// ProofAge is the age of the proof that the configuration was current.
	ProofAge func() time.Duration
	// MaxProofAge is how old that proof may be for requests with keys; 0: it is not looked at.
	MaxProofAge time.Duration
	// BackendsKnown tells whether there is a list of backends.
	BackendsKnown func() bool
	Pick          PickFunc
	// Loads is asked what all nodes have at a service's backends; nil: nobody is.
	Loads  Loads
	Sender Sender
	// Quota counts requests; nil: they are not counted.
	Quota QuotaLimiter
	// Batch takes the calls about batch jobs; nil: they are answered 503.
	Batch BatchAPI
	// Grace is how long after the beginning of a drain the process may live on.
	Grace time.Duration
	// Connections is how many clients' connections there may be at one time.
	Connections int
	Log         *zap.Logger
}

// Proxy serves clients. Its methods may be called at the same time.
type Proxy struct {
	options   Options
	clients   *server
	readiness *server
	draining  atomic.Bool
	counters  *counters
	// notice is how long a drain goes on serving what arrives.
	drainNotice time.Duration
}

// New makes a proxy that serves clients and the platform's question whether it is ready at two listeners.
func New(clients, readiness *net.TCPListener, o Options) *Proxy {
	p := &Proxy{options: o, drainNotice: defaultDrainNotice, counters: newCounters()}
	p.clients = newServer(clients, p.serve, o.Connections, p.limits, &p.draining, o.Log)
	p.clients.onError = func(kind fault.Kind) { p.counters.errors[kind].Add(1) }
	p.readiness = newServer(readiness, p.answerReadiness, readinessConnections, p.limits, &p.draining, o.Log)
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

// Close ends at once: connections are closed, whatever they are about.
func (p *Proxy) Close() {
	p.clients.close()
	p.readiness.close()
}

// Ready tells whether the node can serve.
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

// limits are what clients are held to.
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
