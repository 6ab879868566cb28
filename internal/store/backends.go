package store

import (
	"context"
	"time"

	"nickelline/internal/admission"
	"nickelline/internal/discovery"
	"nickelline/internal/forward"
)

// Permit is the permission to send one item to one backend.
type Permit interface {
	// Started records that the backend has sent the first event of the response.
	Started(now time.Time)
	// Done gives the permit back, with the outcome of the attempt and the load that the backend reported, or nil. It must be called
	// exactly once.
	Done(now time.Time, outcome admission.Outcome, load *admission.Load)
}

// Admission chooses backends for items.
type Admission interface {
	// Pick returns a backend of a service and the permit to send one item to it, or a refusal that names a time to retry after.
	Pick(service string, now time.Time, r admission.Request) (discovery.Backend, Permit, *admission.Refusal)
}

// Sender sends an item to a backend.
type Sender interface {
	// Do returns the response as soon as its header has arrived, or the failure. The caller must close the response.
	Do(ctx context.Context, b discovery.Backend, r *forward.Request) (*forward.Response, *forward.Failure)
}

// PoolAdmission admits items through the pools of their services. It returns the pool of a service, or nil if there is none.
type PoolAdmission func(service string) *admission.Pool

// Pick implements Admission.
func (p PoolAdmission) Pick(service string, now time.Time, r admission.Request) (discovery.Backend, Permit, *admission.Refusal) {
	pool := p(service)
	if pool == nil {
		return discovery.Backend{}, nil, &admission.Refusal{}
	}
	ticket, refusal := pool.Pick(now, r)
	if refusal != nil {
		return discovery.Backend{}, nil, refusal
	}
	return ticket.Backend, ticket, nil
}
