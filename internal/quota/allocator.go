package quota

import (
	"net/netip"
	"time"

	"nickelline/internal/fault"
)

const (
	demandFactor       = 1.4                    // leased rate per demand: room for growth
	demandDepthSpan    = time.Second / 2        // a bucket may save up the demand of this time,
	minDepth           = 1.0                    // and this many requests besides
	depthFraction      = 0.15                   // of the capacity, for the depths of all leases: others cannot use saved tokens
	evenFraction       = 0.1                    // of the rate, leased evenly whatever the demand,
	maxEvenLeases      = 32                     // while a tenant has no more leases than this
	maxRetryAfter      = time.Second            // upper bound of Grant.RetryAfter
	graceRetryAfter    = 50 * time.Millisecond  // Grant.RetryAfter during the grace period
	sweepInterval      = 500 * time.Millisecond // between searches for expired leases
	unresponsiveLeases = 4                      // lease times without a renewal after which a process is unregistered
	formerLives        = 8                      // former processes remembered at each address, to detect their late messages

	// HeadProofLifetime is how long a node may act as allocator after a proof that it is the head.
	HeadProofLifetime = time.Second
)

// Allocator shares out the limits of all tenants among proxies. It reads no clock, does no I/O and is not safe for
// concurrent use.
type Allocator struct {
	policy       Policy
	limits       func(tenant string) Limit
	graceEndsAt  time.Time                 // end of the grace period: all outstanding leases are known
	sweepAt      time.Time                 // when sweep looks for expired leases next
	tenants      map[string]*tenantAccount // by name
	leaseholders map[netip.AddrPort]*leaseholderRecord
	reserves     reserveBook
	unreclaimed  int  // leaseholders that have still to reclaim their leases
	removable    bool // TakeRemovable may have something to return
	// isDown reports whether the process at an address is known not to run; nil: it is never known.
	isDown func(netip.AddrPort) bool
}

// NewAllocator returns the allocator of a node that has become head. The processes that are registered may hold leases of
// former allocators, which cannot register others any more. The grace period lasts until they have reclaimed their leases,
// or all of these have expired. The reserves are those of the tenants that the registry had as kept before the change that has
// recorded all of them as spent.
func NewAllocator(
	p Policy, limits func(tenant string) Limit, registry RegistryState, reserves []string, now time.Time,
) *Allocator {
	a := &Allocator{
		policy:       p,
		limits:       limits,
		graceEndsAt:  now.Add(p.Lease + HeadProofLifetime),
		sweepAt:      now.Add(sweepInterval),
		tenants:      make(map[string]*tenantAccount),
		leaseholders: make(map[netip.AddrPort]*leaseholderRecord),
		reserves:     newReserveBook(reserves),
		unreclaimed:  len(registry.Leaseholders),
	}
	for _, registered := range registry.Leaseholders {
		leaseholder := newLeaseholderRecord(registered.Generation, now)
		leaseholder.registered = true
		a.leaseholders[registered.Address] = leaseholder
	}
	for _, former := range registry.Former {
		if leaseholder := a.leaseholders[former.Address]; leaseholder != nil {
			leaseholder.former = append(leaseholder.former, former.Generation)
		}
	}
	a.endGraceIfReclaimed(now)
	return a
}

// Renew renews a proxy's leases and returns a grant for each entry, in their order. It fails with fault.Conflict if the
// process is not registered, or the renewal is older than one that was seen before.
func (a *Allocator) Renew(now time.Time, from Leaseholder, renewal *Renewal) ([]Grant, error) {
	a.sweep(now)
	if a.StatusOf(from) != Registered {
		return nil, fault.New(fault.Conflict, "generation %x of %v is not registered", from.Generation, from.Address)
	}
	leaseholder := a.leaseholders[from.Address]
	if renewal.Sequence <= leaseholder.sequence {
		return nil, fault.New(fault.Conflict, "renewal %d of %v is out of date", renewal.Sequence, from.Address)
	}
	leaseholder.sequence = renewal.Sequence
	leaseholder.renewedAt = now
	grants := make([]Grant, len(renewal.Entries))
	for i := range renewal.Entries {
		grants[i] = a.renewEntry(now, leaseholder, &renewal.Entries[i])
	}
	if renewal.Complete {
		a.markReclaimed(now, leaseholder)
	}
	if renewal.Leaving {
		a.endByLeaving(now, leaseholder)
	}
	return grants, nil
}

// renewEntry renews one lease and grants waiting requests.
func (a *Allocator) renewEntry(now time.Time, leaseholder *leaseholderRecord, entry *Entry) Grant {
	limit := a.limits(entry.Tenant)
	if limit.Rate <= 0 {
		return Grant{Granted: entry.Need}
	}
	account := a.accountOf(now, entry.Tenant, limit)
	lease := a.reclaim(now, leaseholder, account, entry)
	lease.expiresAt = now.Add(a.policy.Lease + HeadProofLifetime)
	account.demand += entry.Demand - lease.demand
	lease.demand = entry.Demand
	given := a.resize(now, account, lease, a.target(account, lease, limit), limit)
	account.tokens += max(0, entry.Returned)
	granted := min(entry.Need, a.grantable(account, entry.Tenant, limit))
	account.tokens -= float64(granted)
	grant := Grant{Lease: given, Granted: granted}
	switch short := entry.Need - granted; {
	case short <= 0:
	case a.waitsForReserve(now, account, entry.Tenant):
		grant.RetryAfter, grant.Unsettled = reserveRetryAfter, true
	default:
		grant.RetryAfter, grant.Unsettled = a.retryAfter(now, account, limit, short), !a.graceEnded(now)
	}
	return grant
}
