package proxy

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"nickelline/internal/admission"
	"nickelline/internal/configuration"
	"nickelline/internal/fault"
	"nickelline/internal/forward"
	"nickelline/internal/quota"
)

const (
	headerTokenUsage   = "Nickelline-Token-Usage"
	headerPromptPrefix = "Nickelline-Prompt-Prefix"

	// answerReserve is kept from a client's patience: the answer has to get to it by then.
	answerReserve = 5 * time.Millisecond

	// quotaWaitPart is the part of a route's target latency for which a request may wait for its tenant's budget: a
	// refusal that comes within a quarter costs less.
	quotaWaitFraction = 0.2
)

// serve answers a client's request. All that may refuse it is looked at after it has been read whole, so that a process that
// wakes from a freeze does not act on what it knew before.
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
	snapshot, err := p.snapshot()
	if err != nil {
		w.writeError(err)
		return
	}
	route := snapshot.Match(r.host, r.path)
	if route == nil {
		w.writeError(p.ifCurrent(fault.New(fault.RouteNotFound, "no route for %s%s", r.host, r.path)))
		return
	}
	tenant, err := p.tenantFor(snapshot, route, r)
	if err != nil {
		w.writeError(err)
		return
	}
	if r.attemptID == "" {
		w.writeError(fault.New(fault.BadRequest, "%s is missing", forward.HeaderAttemptID))
		return
	}
	if route.Kind == configuration.Batch {
		p.serveSubmission(ctx, r, w, route, tenantName(tenant))
		return
	}
	if tenant == nil || p.options.Quota == nil {
		p.exchange(ctx, r, w, route, tenant)
		return
	}
	limited := quota.WithMaxWait(ctx, time.Duration(quotaWaitFraction*float64(route.TargetLatency)))
	if err := p.options.Quota.Take(limited, tenant); err != nil {
		w.writeError(err)
		return
	}
	if ran := p.exchange(ctx, r, w, route, tenant); !ran {
		p.options.Quota.Refund(tenant)
	}
}

// exchange passes a request to backends. It tells whether the request may have run.
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

// snapshot gives the configuration in force.
func (p *Proxy) snapshot() (*configuration.Snapshot, error) {
	snapshot := p.options.Configuration()
	if snapshot == nil {
		return nil, fault.New(fault.NotReady, "there is no configuration yet")
	}
	return snapshot, nil
}

// tenantFor gives the tenant whose key a request carries; nil where the route needs none.
func (p *Proxy) tenantFor(snapshot *configuration.Snapshot, route *configuration.Route, r *request) (*configuration.Tenant, error) {
	if route.Public || !snapshot.RequiresKey() {
		return nil, nil
	}
	return p.authenticate(snapshot, r)
}

// tenant gives the name of the tenant whose key a call about batch jobs carries.
func (p *Proxy) callTenant(snapshot *configuration.Snapshot, r *request) (string, error) {
	if !snapshot.RequiresKey() {
		return "", nil
	}
	tenant, err := p.authenticate(snapshot, r)
	return tenantName(tenant), err
}

// keyHolder finds the tenant of a key in a configuration that is proved to be current.
func (p *Proxy) authenticate(snapshot *configuration.Snapshot, r *request) (*configuration.Tenant, error) {
	if err := p.checkProof(); err != nil {
		return nil, err
	}
	tenant := snapshot.Tenant(r.key())
	if tenant == nil {
		return nil, fault.New(fault.Unauthorized, "the key is not known")
	}
	return tenant, nil
}

// checkProof fails if the configuration may have been replaced too long ago for keys to be trusted.
func (p *Proxy) checkProof() error {
	if p.options.MaxProofAge <= 0 || p.options.ProofAge() <= p.options.MaxProofAge {
		return nil
	}
	return fault.New(fault.NotReady, "the configuration is not known to be current")
}

// ifCurrent gives an error that the configuration is the reason for, if that is proved to be current.
func (p *Proxy) ifCurrent(err error) error {
	if stale := p.checkProof(); stale != nil {
		return stale
	}
	return err
}

func tenantName(tenant *configuration.Tenant) string {
	if tenant == nil {
		return ""
	}
	return tenant.Name
}

// deadline is when the answer has to be complete, by the client's patience and the route's time-out.
func (r *request) deadline(route *configuration.Route) time.Time {
	patience := r.patience(maxPatience)
	if route.Timeout > 0 {
		patience = min(patience, route.Timeout)
	}
	return r.startedAt.Add(patience - answerReserve)
}

// admissionRequest tells admission of a request what it has to know.
func admissionRequest(r *request, route *configuration.Route, tenant *configuration.Tenant) admission.Request {
	a := admission.Request{Priority: route.Priority, Tokens: tokenCount(r.header.Get(headerTokenUsage))}
	if tenant != nil && tenant.HasPriority {
		a.Priority = tenant.Priority
	}
	if route.SessionAffinity {
		a.Prefix = promptSegments(r.header.Get(headerPromptPrefix))
	}
	return a
}

// tokens sums the numbers of a token usage, 0 if they make no sense.
func tokenCount(usage string) int {
	sum := 0
	for part := range strings.SplitSeq(usage, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 0 {
			return 0
		}
		sum += n
	}
	return sum
}

// promptParts gives the ids of the parts of a prompt. The last one belongs to the request or its session alone.
func promptSegments(prefix string) []string {
	if prefix == "" {
		return nil
	}
	parts := make([]string, 0, strings.Count(prefix, ",")+1)
	for part := range strings.SplitSeq(prefix, ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
		parts = append(parts, id)
	}
	return parts
}
