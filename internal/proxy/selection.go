package proxy

import (
	"context"
	"slices"
	"time"

	"nickelline/internal/admission"
	"nickelline/internal/discovery"
)

// Selector selects the backend of a service for a request, or refuses the request.
type Selector interface {
	Select(service string, now time.Time, r admission.Request) (discovery.Backend, Ticket, *admission.Refusal)
}

// Ticket is the permission to send one request to one backend. It is an *admission.Ticket, whose methods it has.
type Ticket interface {
	Report(now time.Time, load admission.Load)
	Started(now time.Time)
	Done(now time.Time, outcome admission.Outcome, load *admission.Load)
}

// SelectorFunc is a function as a Selector.
type SelectorFunc func(service string, now time.Time, r admission.Request) (discovery.Backend, Ticket, *admission.Refusal)

// Select calls the function.
func (f SelectorFunc) Select(
	service string, now time.Time, r admission.Request,
) (discovery.Backend, Ticket, *admission.Refusal) {
	return f(service, now, r)
}

// PoolSelector returns a Selector of the pools of services. A service without a pool has no backends.
func PoolSelector(pool func(service string) *admission.Pool) Selector {
	return SelectorFunc(func(service string, now time.Time, r admission.Request) (discovery.Backend, Ticket, *admission.Refusal) {
		p := pool(service)
		if p == nil {
			return discovery.Backend{}, nil, &admission.Refusal{}
		}
		ticket, refusal := p.Pick(now, r)
		if refusal != nil {
			return discovery.Backend{}, nil, refusal
		}
		return ticket.Backend, ticket, nil
	})
}

// Loads keeps admission informed of the loads of all nodes at the backends of a service. It is a *load.Service.
type Loads interface {
	// Refresh returns once the newest loads are known, or after a short time.
	Refresh(ctx context.Context, service string)
	// Announce reports a request that has just been admitted to the other nodes.
	Announce(service string)
}

// selectBackend selects a backend by the newest loads, and notifies other nodes.
func (e *exchange) selectBackend(ctx context.Context) (discovery.Backend, Ticket, *admission.Refusal) {
	loads := e.proxy.options.Loads
	if loads != nil {
		loads.Refresh(ctx, e.service)
	}
	backend, ticket, refusal := e.proxy.options.Selector.Select(e.service, time.Now(), e.admission)
	if loads != nil && refusal == nil {
		loads.Announce(e.service)
	}
	return backend, ticket, refusal
}

// wasTried reports whether a backend has already got the request.
func (e *exchange) wasTried(id string) bool { return slices.Contains(e.tried, id) }
