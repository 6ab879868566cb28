package quota

import (
	"net/netip"
	"time"

	"nickelline/internal/fault"
)

const (
	demandFactor             = 1.4                    // ratio of leased rate to demand, which leaves room for growth
	demandDepthSpan          = time.Second / 2        // a bucket may save up the demand of this time
	minDepth                 = 1.0                    // requests that a bucket may save up in addition
	depthFraction            = 0.15                   // of the capacity, for the depths of all leases; small, since a proxy cannot use the tokens that others save
	evenFraction             = 0.1                    // of the rate, divided evenly among all leases whatever their demand
	maxEvenLeases            = 32                     // with more leases of a tenant than this, no rate is divided evenly
	maxRetryAfter            = time.Second            // upper bound of Grant.RetryAfter
	graceRetryAfter          = 50 * time.Millisecond  // Grant.RetryAfter during the grace period
	sweepInterval            = 500 * time.Millisecond // interval between searches for expired leases
	unresponsiveLeasePeriods = 4                      // times Policy.Lease without a renewal: the process is unregistered
	maxFormerProcesses       = 8                      // former processes remembered for each address, to detect their late messages

	// HeadProofLifetime is how long a node may act as allocator after it was proven to be the head.
	HeadProofLifetime = time.Second
)

// Allocator divides the limits of all tenants among proxies. It reads no clock, does no I/O and is not safe for
// concurrent use.
type Allocator struct {
	policy       Policy
	limits       func(tenant string) Limit
	formerEndsAt time.Time                 // the former allocator grants nothing from then on
	graceEndsAt  time.Time                 // end of the grace period: all outstanding leases are known
	sweepAt      time.Time                 // earliest time of the next search for expired leases
	tenants      map[string]*tenantAccount // by name
	leaseholders map[netip.AddrPort]*leaseholderRecord
	reserves     reserveState
	unreclaimed  int  // number of leaseholders that have not yet reclaimed their leases
	removable    bool // TakeRemovable may have something to return
	// granted and returned count granted requests and returned tokens.
	granted, returned float64
	// isDown reports whether the process at an address is known not to run; nil means that it is never known.
	isDown func(netip.AddrPort) bool
}

// NewAllocator returns the allocator of a node that has become head. The registered processes may hold leases of former
// allocators, which can no longer register other processes. The grace period lasts until the registered processes have
// reclaimed their leases, or all of these leases have expired. reserves names the tenants whose reserves were recorded as
// kept before the change of the registry that recorded all reserves as spent.
func NewAllocator(
	p Policy, limits func(tenant string) Limit, registry RegistryState, reserves []string, now time.Time,
) *Allocator {
	a := &Allocator{
		policy:       p,
		limits:       limits,
		formerEndsAt: now.Add(HeadProofLifetime),
		graceEndsAt:  now.Add(p.Lease + HeadProofLifetime),
		sweepAt:      now.Add(sweepInterval),
		tenants:      make(map[string]*tenantAccount),
		leaseholders: make(map[netip.AddrPort]*leaseholderRecord),
		reserves:     newReserveState(reserves),
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

// Renew renews a proxy's leases and returns a grant for each entry, in the order of the entries. It fails with
// fault.Conflict if the process is not registered, or if the renewal is not newer than all that were received before.
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
		a.handleLeaving(now, leaseholder)
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
	a.deposit(now, account, limit, entry.Returned)
	a.returned += max(0, entry.Returned)
	granted := min(entry.Need, a.grantable(account, entry.Tenant, limit))
	account.tokens -= float64(granted)
	a.granted += float64(granted)
	grant := Grant{Lease: given, Granted: granted}
	switch shortfall := entry.Need - granted; {
	case shortfall <= 0:
	case a.waitsForReserve(now, account, entry.Tenant):
		grant.RetryAfter, grant.Unsettled = reserveRetryAfter, true
	default:
		grant.RetryAfter, grant.Unsettled = a.retryAfter(now, account, limit, shortfall), !a.graceEnded(now)
	}
	return grant
}
