package proxy

import (
	"context"
	"math/rand/v2"
	"time"

	"nickelline/internal/configuration"
	"nickelline/internal/fault"
	"nickelline/internal/forward"
	"nickelline/internal/quota"
)

const (
	// responseMargin is subtracted from the client's timeout: the response has to reach the client before it expires.
	responseMargin = 5 * time.Millisecond

	// quotaWaitFraction is the fraction of a route's target latency for which a request may wait for the quota of its
	// tenant. It is below a quarter, because a rejection within a quarter of the target latency costs less than a later
	// one.
	quotaWaitFraction = 0.2
)

// serve answers a client's request, which has been read completely.
func (p *Proxy) serve(ctx context.Context, r *request, w *responseWriter) {
	if len(r.header["Host"]) != 1 {
		w.closeConnection = true
		w.writeError(fault.New(fault.BadRequest, "request does not have exactly one Host header"))
		return
	}
	if isBatchRequest(r.path) {
		p.serveBatchRequest(ctx, r, w)
		return
	}
	route, tenant, err := p.routeRequest(r)
	if err != nil {
		w.writeError(err)
		return
	}
	if route.Kind == configuration.Batch {
		p.serveSubmission(ctx, r, w, route, tenantName(tenant))
		return
	}
	p.serveWithinQuota(ctx, r, w, route, tenant)
}

// routeRequest returns the route of a request and the tenant whose API key it carries. The tenant is nil if the route
// needs no key.
func (p *Proxy) routeRequest(r *request) (*configuration.Route, *configuration.Tenant, error) {
	current, err := p.configuration()
	if err != nil {
		return nil, nil, err
	}
	route := current.Match(r.host, r.path)
	if route == nil {
		return nil, nil, p.ifCurrent(current, fault.New(fault.RouteNotFound, "no route for %s%s", r.host, r.path))
	}
	tenant, err := p.tenantFor(current, route, r)
	if err != nil {
		return nil, nil, err
	}
	if r.attemptID == "" {
		return nil, nil, fault.New(fault.BadRequest, "header %s is missing", forward.HeaderAttemptID)
	}
	return route, tenant, nil
}

// serveWithinQuota serves a request once the quota of its tenant allows it.
func (p *Proxy) serveWithinQuota(
	ctx context.Context, r *request, w *responseWriter, route *configuration.Route, tenant *configuration.Tenant,
) {
	if tenant == nil || p.options.Quota == nil {
		p.runExchange(ctx, r, w, route, tenant)
		return
	}
	limited := quota.WithMaxWait(ctx, time.Duration(quotaWaitFraction*float64(route.TargetLatency)))
	if err := p.options.Quota.Take(limited, tenant); err != nil {
		w.writeError(err)
		return
	}
	admittedAt := time.Now()
	if executed := p.runExchange(ctx, r, w, route, tenant); !executed {
		p.options.Quota.Refund(tenant, admittedAt)
	}
}

// runExchange sends a request to backends and writes the response. It reports whether the request may have been executed.
func (p *Proxy) runExchange(
	ctx context.Context, r *request, w *responseWriter, route *configuration.Route, tenant *configuration.Tenant,
) bool {
	service := route.Choose(rand.Float64())
	if service == nil {
		w.writeError(fault.New(fault.Overloaded, "route %s has no service", route.Name))
		return false
	}
	e := &exchange{
		proxy:     p,
		route:     route,
		service:   service.Name,
		tenant:    tenant,
		key:       r.key(),
		admission: admissionRequest(r, route, tenant),
		request: forward.Request{
			Method:    r.method,
			Target:    r.target,
			Host:      r.host,
			Header:    r.header,
			Body:      r.body,
			AttemptID: r.attemptID,
			Tenant:    tenantName(tenant),
			Deadline:  r.deadline(route),
		},
	}
	e.admission.Exclude = e.wasTried
	e.run(ctx, w)
	return e.executed > 0
}

// configuration returns the configuration in force.
func (p *Proxy) configuration() (*configuration.Current, error) {
	current := p.options.Configuration()
	if current == nil {
		return nil, fault.New(fault.NotReady, "no configuration is known yet")
	}
	return current, nil
}

// deadline returns when the response must be complete: after the client's timeout or that of the route, whichever is
// shorter.
func (r *request) deadline(route *configuration.Route) time.Time {
	timeout := r.clientTimeout(maxClientTimeout)
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return r.startedAt.Add(timeout - responseMargin)
}
