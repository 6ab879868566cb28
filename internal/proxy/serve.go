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
	// answerReserve is subtracted from the time that a client waits: the answer has to reach it by then.
	answerReserve = 5 * time.Millisecond

	// quotaWaitFraction of a route's target latency is how long a request may wait for the quota of its tenant: a refusal
	// within a quarter of the target costs less.
	quotaWaitFraction = 0.2
)

// serve answers a client's request, which has been read whole.
func (p *Proxy) serve(ctx context.Context, r *request, w *responseWriter) {
	if len(r.header["Host"]) != 1 {
		w.closeConnection = true
		w.writeError(fault.New(fault.BadRequest, "want one Host"))
		return
	}
	if isBatchCall(r.path) {
		p.serveBatchCall(ctx, r, w)
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

// routeRequest returns the route of a request, and the tenant whose key it carries; nil where the route needs none.
func (p *Proxy) routeRequest(r *request) (*configuration.Route, *configuration.Tenant, error) {
	snapshot, err := p.snapshot()
	if err != nil {
		return nil, nil, err
	}
	route := snapshot.Match(r.host, r.path)
	if route == nil {
		return nil, nil, p.ifCurrent(fault.New(fault.RouteNotFound, "no route for %s%s", r.host, r.path))
	}
	tenant, err := p.tenantFor(snapshot, route, r)
	if err != nil {
		return nil, nil, err
	}
	if r.attemptID == "" {
		return nil, nil, fault.New(fault.BadRequest, "%s is missing", forward.HeaderAttemptID)
	}
	return route, tenant, nil
}

// serveWithinQuota serves a request once the quota of its tenant allows it.
func (p *Proxy) serveWithinQuota(
	ctx context.Context, r *request, w *responseWriter, route *configuration.Route, tenant *configuration.Tenant,
) {
	if tenant == nil || p.options.Quota == nil {
		p.exchange(ctx, r, w, route, tenant)
		return
	}
	limited := quota.WithMaxWait(ctx, time.Duration(quotaWaitFraction*float64(route.TargetLatency)))
	if err := p.options.Quota.Take(limited, tenant); err != nil {
		w.writeError(err)
		return
	}
	if executed := p.exchange(ctx, r, w, route, tenant); !executed {
		p.options.Quota.Refund(tenant)
	}
}

// exchange sends a request to backends and answers it. It reports whether the request may have run.
func (p *Proxy) exchange(
	ctx context.Context, r *request, w *responseWriter, route *configuration.Route, tenant *configuration.Tenant,
) bool {
	service := route.Choose(rand.Float64())
	if service == nil {
		w.writeError(fault.New(fault.Overloaded, "route %s has no service", route.Name))
		return false
	}
	e := &exchange{
		proxy:         p,
		route:         route,
		service:       service.Name,
		requiresProof: tenant != nil,
		admission:     admissionRequest(r, route, tenant),
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

// snapshot returns the configuration in force.
func (p *Proxy) snapshot() (*configuration.Snapshot, error) {
	snapshot := p.options.Configuration()
	if snapshot == nil {
		return nil, fault.New(fault.NotReady, "there is no configuration yet")
	}
	return snapshot, nil
}

// deadline returns when the answer must be complete, by the time that the client waits and the timeout of the route.
func (r *request) deadline(route *configuration.Route) time.Time {
	patience := r.patience(maxPatience)
	if route.Timeout > 0 {
		patience = min(patience, route.Timeout)
	}
	return r.startedAt.Add(patience - answerReserve)
}
