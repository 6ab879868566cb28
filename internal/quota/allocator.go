package quota

import (
	"net/netip"
	"time"

	"nickelline/internal/fault"
)

const (
	demandFactor       = 1.4                    // lease for demand: some room for growth
	demandDepthSpan    = time.Second / 2        // depth for so much of the demand,
	minDepth           = 1.0                    // and so many requests besides
	depthFraction      = 0.15                   // of the capacity that leases' depths may take: what lies there others cannot use,
	evenFraction       = 0.1                    // of the rate that is leased evenly, whatever the demand,
	maxEvenLeases      = 32                     // while there are no more holders than this
	maxRetryAfter      = time.Second            // longest time told until more may be granted
	graceRetryAfter    = 50 * time.Millisecond  // told while the allocator waits for leases to be presented
	sweepInterval      = 500 * time.Millisecond // between looks for leases that have ended
	unresponsiveLeases = 4                      // a registered life is forgotten after so many lease times without a renewal
	formerLives        = 8                      // of a proxy that are remembered, to know their late messages

	// HeadProofLifetime is how long after a proof of headship a node may act as allocator.
	HeadProofLifetime = time.Second
)

// Allocator shares out the tenants' limits. It reads no clock and does no I/O, and is not safe for concurrent use.
type Allocator struct {
	policy       Policy
	limits       func(tenant string) Limit
	graceEndsAt  time.Time // from then on all outstanding leases are known
	sweepAt      time.Time
	tenants      map[string]*account
	leaseholders map[netip.AddrPort]*leaseholder
	unreclaimed  int  // holders that have still to present the leases of a former allocator
	removable    bool // some registered lives have left or are gone, or have long not renewed
	// isDown tells whether the process at an address is known not to run; nil: it is never known.
	isDown func(netip.AddrPort) bool
}

// NewAllocator makes the allocator of a node that has become head. Registered are the lives that may hold leases of its
// predecessors, which can register no others any more. The allocator grants little until these leases have been presented
// or have ended.
func NewAllocator(p Policy, limits func(tenant string) Limit, registered []Leaseholder, now time.Time) *Allocator {
	a := &Allocator{
		policy:       p,
		limits:       limits,
		graceEndsAt:  now.Add(p.Lease + HeadProofLifetime),
		sweepAt:      now.Add(sweepInterval),
		tenants:      make(map[string]*account),
		leaseholders: make(map[netip.AddrPort]*leaseholder),
		unreclaimed:  len(registered),
	}
	for _, r := range registered {
		h := newLeaseholder(r.Life, now)
		h.registered = true
		a.leaseholders[r.Address] = h
	}
	a.endGraceIfReclaimed(now)
	return a
}

// Renew takes a proxy's renewal and answers its entries in their order.
func (a *Allocator) Renew(now time.Time, from Leaseholder, r *Renewal) ([]Grant, error) {
	a.sweep(now)
	if a.StatusOf(from) != Registered {
		return nil, fault.New(fault.Conflict, "life %x of %v is not registered", from.Life, from.Address)
	}
	h := a.leaseholders[from.Address]
	if r.Sequence <= h.sequence {
		return nil, fault.New(fault.Conflict, "renewal %d of %v is out of date", r.Sequence, from.Address)
	}
	h.sequence = r.Sequence
	h.renewedAt = now
	grants := make([]Grant, len(r.Entries))
	for i := range r.Entries {
		grants[i] = a.renewEntry(now, h, &r.Entries[i])
	}
	if r.Complete {
		a.markReclaimed(now, h)
	}
	if r.Leaving {
		a.endByLeaving(now, h)
	}
	return grants, nil
}

// renewEntry renews one lease and grants waiting requests.
func (a *Allocator) renewEntry(now time.Time, h *leaseholder, e *Entry) Grant {
	limit := a.limits(e.Tenant)
	if limit.Rate <= 0 {
		return Grant{Granted: e.Need}
	}
	t := a.accountOf(now, e.Tenant, limit)
	l := a.reclaim(now, h, t, e)
	l.expiresAt = now.Add(a.policy.Lease + HeadProofLifetime)
	t.demand += e.Demand - l.demand
	l.demand = e.Demand
	given := a.resize(now, t, l, a.target(t, l, limit), limit)
	t.tokens += max(0, e.Returned)
	granted := min(e.Need, int(t.tokens))
	t.tokens -= float64(granted)
	return Grant{Lease: given, Granted: granted, RetryAfter: a.retryAfter(now, t, limit, e.Need-granted)}
}
