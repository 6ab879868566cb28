package quota

import (
	"math"
	"time"
)

// tenantAccount is the allocator's state of a tenant.
type tenantAccount struct {
	leased   Share     // sum of the outstanding shares of all leases
	released Share     // given up by leaseholders during the grace period
	demand   float64   // requests a second, sum over all leases
	leases   int       // number of leases
	tokens   float64   // in the allocator's bucket
	reserve  float64   // tokens that the bucket began with, which the former allocator had kept
	filledAt time.Time // time up to which tokens have been added
}

// accountOf returns a tenant's account, with its bucket filled up to now.
func (a *Allocator) accountOf(now time.Time, tenant string, limit Limit) *tenantAccount {
	account := a.tenants[tenant]
	if account == nil {
		reserve := a.initialTokens(tenant, limit)
		account = &tenantAccount{filledAt: now, tokens: reserve, reserve: reserve}
		if a.graceEnded(now) {
			account.filledAt = a.graceEndsAt
		}
		a.tenants[tenant] = account
	}
	a.fill(now, account, limit)
	return account
}

// fill adds to the tenant's bucket the tokens of its unleased rate since the last call, or since the end of the grace
// period. It adds none during the grace period. An earlier time than that of the last call has no effect: a caller may have
// waited for the mutex after it read the clock.
func (a *Allocator) fill(now time.Time, account *tenantAccount, limit Limit) {
	from := account.filledAt
	if now.Before(from) {
		return
	}
	account.filledAt = now
	if !a.graceEnded(now) {
		return
	}
	if from.Before(a.graceEndsAt) {
		from = a.graceEndsAt
	}
	leasable := a.leasable(now, account, limit)
	a.deposit(now, account, limit, leasable.Rate*now.Sub(from).Seconds())
}

// deposit adds tokens to the tenant's bucket, up to its maximum.
func (a *Allocator) deposit(now time.Time, account *tenantAccount, limit Limit, tokens float64) {
	account.tokens = min(account.tokens+max(0, tokens), a.maxTokens(now, account, limit))
}

// maxTokens returns how many tokens the tenant's bucket may hold: the part of the capacity that leases cannot take, in the
// grace period too. While the former allocator may still grant what its bucket holds, that is no more than the reserve,
// which is all of the former bucket that this allocator owns.
func (a *Allocator) maxTokens(now time.Time, account *tenantAccount, limit Limit) float64 {
	if now.Before(a.formerEndsAt) && !a.graceEnded(now) {
		return account.reserve
	}
	capacity := a.policy.capacity(limit)
	return max(0, min((1-depthFraction)*capacity, capacity-account.leased.Depth))
}

// leasable returns the share that may be leased in addition: during the grace period only the share that leaseholders
// have released.
func (a *Allocator) leasable(now time.Time, account *tenantAccount, limit Limit) Share {
	if !a.graceEnded(now) {
		return account.released
	}
	return Share{
		Rate:  limit.Rate - account.leased.Rate,
		Depth: depthFraction*a.policy.capacity(limit) - account.leased.Depth,
	}
}

// reclaim records the share that the leaseholder reports to hold. The lease may come from this allocator, which may have
// reduced it since, or from a former one.
func (a *Allocator) reclaim(
	now time.Time, leaseholder *leaseholderRecord, account *tenantAccount, entry *Entry,
) *leaseRecord {
	lease := leaseholder.leases[entry.Tenant]
	if lease == nil {
		lease = &leaseRecord{outstanding: entry.Held}
		leaseholder.leases[entry.Tenant] = lease
		account.leased.Rate += entry.Held.Rate
		account.leased.Depth += entry.Held.Depth
		account.leases++
		return lease
	}
	a.setOutstanding(now, account, lease, minShare(lease.outstanding, entry.Held))
	return lease
}

// setOutstanding changes the share of a lease that counts as leased.
func (a *Allocator) setOutstanding(now time.Time, account *tenantAccount, lease *leaseRecord, share Share) {
	rate, depth := share.Rate-lease.outstanding.Rate, share.Depth-lease.outstanding.Depth
	account.leased.Rate += rate
	account.leased.Depth += depth
	if !a.graceEnded(now) {
		account.released.Rate = max(0, account.released.Rate-rate)
		account.released.Depth = max(0, account.released.Depth-depth)
	}
	lease.outstanding = share
}

// target returns the share that a lease should have according to its demand.
func (a *Allocator) target(account *tenantAccount, lease *leaseRecord, limit Limit) Share {
	evenRate := 0.0
	if account.leases <= maxEvenLeases {
		evenRate = evenFraction * limit.Rate / float64(account.leases)
	}
	rate := evenRate + demandFactor*lease.demand
	wantedRate := evenRate*float64(account.leases) + demandFactor*account.demand
	depth := minDepth + demandDepthSpan.Seconds()*lease.demand
	wantedDepth := minDepth*float64(account.leases) + demandDepthSpan.Seconds()*account.demand
	capacity := a.policy.capacity(limit)
	return Share{
		Rate:  rate * min(1, leasedFraction*limit.Rate/max(wantedRate, math.SmallestNonzeroFloat64)),
		Depth: depth * min(1, depthFraction*capacity/max(wantedDepth, math.SmallestNonzeroFloat64)),
	}
}

// resize moves a lease towards its target and returns the share that the leaseholder may use from now on. A lease grows
// by at most the leasable share. A reduction stays outstanding until the leaseholder has confirmed it.
func (a *Allocator) resize(now time.Time, account *tenantAccount, lease *leaseRecord, target Share, limit Limit) Share {
	leasable := a.leasable(now, account, limit)
	given := Share{
		Rate:  min(target.Rate, lease.outstanding.Rate+max(0, leasable.Rate)),
		Depth: min(target.Depth, lease.outstanding.Depth+max(0, leasable.Depth)),
	}
	a.setOutstanding(now, account, lease, maxShare(lease.outstanding, given))
	return given
}

// retryAfter returns the time until the bucket is expected to hold enough tokens for the given number of requests that
// were not granted, at most maxRetryAfter.
func (a *Allocator) retryAfter(now time.Time, account *tenantAccount, limit Limit, shortfall int) time.Duration {
	rate := a.leasable(now, account, limit).Rate
	if !a.graceEnded(now) {
		return graceRetryAfter
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	wait := (1 - account.tokens + float64(shortfall-1)) / rate
	return min(time.Duration(wait*float64(time.Second)), maxRetryAfter)
}

// endLease gives the share of a lease back to its tenant.
func (a *Allocator) endLease(now time.Time, leaseholder *leaseholderRecord, tenant string, lease *leaseRecord) {
	account := a.accountOf(now, tenant, a.limits(tenant))
	a.setOutstanding(now, account, lease, Share{})
	account.demand -= lease.demand
	account.leases--
	delete(leaseholder.leases, tenant)
	if account.leases == 0 {
		account.leased, account.demand = Share{}, 0 // drop rounding errors
	}
}
