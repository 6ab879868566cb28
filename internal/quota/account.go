package quota

import (
	"math"
	"time"
)

// account is what the allocator keeps of a tenant.
type account struct {
	leased   Share     // sum of what is outstanding
	released Share     // given up by leaseholders during the grace period
	demand   float64   // sum over all leases
	leases   int       // number of leases
	tokens   float64   // in the allocator's bucket
	filledAt time.Time // up to which tokens are added
}

// accountOf returns a tenant's account, with its bucket filled up to now.
func (a *Allocator) accountOf(now time.Time, tenant string, limit Limit) *account {
	t := a.tenants[tenant]
	if t == nil {
		t = &account{filledAt: now}
		if a.graceEnded(now) {
			t.filledAt = a.graceEndsAt
		}
		a.tenants[tenant] = t
	}
	a.fill(now, t, limit)
	return t
}

// fill adds to the tenant's bucket what of its rate was not leased since the last call.
func (a *Allocator) fill(now time.Time, t *account, limit Limit) {
	from := t.filledAt
	t.filledAt = now
	if !a.graceEnded(now) {
		return
	}
	if from.Before(a.graceEndsAt) {
		from = a.graceEndsAt
	}
	free := a.free(now, t, limit)
	t.tokens += max(0, free.Rate) * now.Sub(from).Seconds()
	capacity := a.policy.capacity(limit)
	t.tokens = min(t.tokens, (1-depthFraction)*capacity, max(0, capacity-t.leased.Depth))
}

// free returns the share that may be leased in addition. During the grace period that is only what leaseholders have
// released.
func (a *Allocator) free(now time.Time, t *account, limit Limit) Share {
	if !a.graceEnded(now) {
		return t.released
	}
	return Share{Rate: limit.Rate - t.leased.Rate, Depth: a.policy.capacity(limit) - t.leased.Depth - t.tokens}
}

// reclaim records the share that the leaseholder says it has: of a lease of this allocator, which it may have reduced,
// or of a lease of a former one.
func (a *Allocator) reclaim(now time.Time, h *leaseholder, t *account, e *Entry) *lease {
	l := h.leases[e.Tenant]
	if l == nil {
		l = &lease{outstanding: e.Held}
		h.leases[e.Tenant] = l
		t.leased.Rate += e.Held.Rate
		t.leased.Depth += e.Held.Depth
		t.leases++
		return l
	}
	a.setOutstanding(now, t, l, Share{Rate: min(l.outstanding.Rate, e.Held.Rate), Depth: min(l.outstanding.Depth, e.Held.Depth)})
	return l
}

// setOutstanding changes the share that counts as leased.
func (a *Allocator) setOutstanding(now time.Time, t *account, l *lease, share Share) {
	rate, depth := share.Rate-l.outstanding.Rate, share.Depth-l.outstanding.Depth
	t.leased.Rate += rate
	t.leased.Depth += depth
	if !a.graceEnded(now) {
		t.released.Rate = max(0, t.released.Rate-rate)
		t.released.Depth = max(0, t.released.Depth-depth)
	}
	l.outstanding = share
}

// target returns the share that a lease should have for its demand.
func (a *Allocator) target(t *account, l *lease, limit Limit) Share {
	even := 0.0
	if t.leases <= maxEvenLeases {
		even = evenFraction * limit.Rate / float64(t.leases)
	}
	rate := even + demandFactor*l.demand
	wanted := even*float64(t.leases) + demandFactor*t.demand
	depth := minDepth + demandDepthSpan.Seconds()*l.demand
	wantedDepth := minDepth*float64(t.leases) + demandDepthSpan.Seconds()*t.demand
	capacity := a.policy.capacity(limit)
	return Share{
		Rate:  rate * min(1, leasedFraction*limit.Rate/max(wanted, math.SmallestNonzeroFloat64)),
		Depth: depth * min(1, depthFraction*capacity/max(wantedDepth, math.SmallestNonzeroFloat64)),
	}
}

// resize moves a lease towards its target and returns the share that the leaseholder may use from now on. A lease grows
// by what is free; a reduction stays outstanding until the leaseholder has confirmed it.
func (a *Allocator) resize(now time.Time, t *account, l *lease, target Share, limit Limit) Share {
	free := a.free(now, t, limit)
	given := Share{
		Rate:  min(target.Rate, l.outstanding.Rate+max(0, free.Rate)),
		Depth: min(target.Depth, l.outstanding.Depth+max(0, free.Depth)),
	}
	a.setOutstanding(now, t, l, Share{Rate: max(l.outstanding.Rate, given.Rate), Depth: max(l.outstanding.Depth, given.Depth)})
	return given
}

// retryAfter returns when the bucket is expected to hold enough for the requests that got nothing, 0 if there are none.
func (a *Allocator) retryAfter(now time.Time, t *account, limit Limit, short int) time.Duration {
	if short <= 0 {
		return 0
	}
	rate := a.free(now, t, limit).Rate
	if !a.graceEnded(now) {
		return graceRetryAfter
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	wait := (1 - t.tokens + float64(short-1)) / rate
	return min(time.Duration(wait*float64(time.Second)), maxRetryAfter)
}

// endLease returns the share of a lease to its tenant.
func (a *Allocator) endLease(now time.Time, h *leaseholder, tenant string, l *lease) {
	t := a.accountOf(now, tenant, a.limits(tenant))
	a.setOutstanding(now, t, l, Share{})
	t.demand -= l.demand
	t.leases--
	delete(h.leases, tenant)
	if t.leases == 0 {
		t.leased, t.demand = Share{}, 0 // drop rounding errors
	}
}
