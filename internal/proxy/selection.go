package proxy

import (
	"context"
	"slices"
	"time"

	"nickelline/internal/admission"
	"nickelline/internal/discovery"
)

// Selector selects a backend of a service for a request, or refuses the request.
type Selector interface {
	Select(service string, now time.Time, r admission.Request) (discovery.Backend, Ticket, *admission.Refusal)
}

// Ticket is the permission to send one request to one backend. *admission.Ticket implements it and documents the methods.
type Ticket interface {
	Report(now time.Time, load admission.Load)
	Started(now time.Time)
	Done(now time.Time, outcome admission.Outcome, load *admission.Load)
}

// SelectorFunc is an adapter that lets a function serve as a Selector.
type SelectorFunc func(service string, now time.Time, r admission.Request) (discovery.Backend, Ticket, *admission.Refusal)

// Select calls f.
func (f SelectorFunc) Select(
	service string, now time.Time, r admission.Request,
) (discovery.Backend, Ticket, *admission.Refusal) {
	return f(service, now, r)
}

// PoolSelector returns a Selector that picks backends from the pools of services. It refuses requests for a service
// without a pool.
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

// Loads keeps admission informed of the load of all nodes on the backends of a service. *load.Service implements it.
type Loads interface {
	// Refresh returns once the latest loads are known, or after a short timeout.
	Refresh(ctx context.Context, service string)
	// Announce tells the other nodes about a request that has just been admitted.
	Announce(service string)
}

// selectBackend selects a backend by the latest loads, and announces the admitted request to the other nodes.
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

// wasTried reports whether the request has already been sent to a backend.
func (e *exchange) wasTried(id string) bool { return slices.Contains(e.tried, id) }
