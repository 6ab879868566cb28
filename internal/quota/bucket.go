package quota

import (
	"time"
)

const (
	demandTimeConstant = 1500 * time.Millisecond // smoothing of a tenant's arrivals
	idleTimeout        = 10 * time.Second        // after its last request a tenant's lease is given up
	maxExhaustedTime   = 100 * time.Millisecond  // the allocator's word that there is no more holds so long, at most
	maxTokenWait       = time.Minute             // for a token that a lease will give
	firstDemandSpan    = 500 * time.Millisecond  // a first request counts as one in this time
)

// leasedBuckets is what a proxy holds of all tenants. It reads no clock and does no I/O, and is not safe for concurrent use.
type leasedBuckets struct {
	policy   Policy
	byTenant map[string]*leasedBucket
}

// leasedBucket is a token bucket that a lease fills.
type leasedBucket struct {
	lease     Share
	expiresAt time.Time // of the lease
	tokens    float64
	surplus   float64 // given by the lease beyond its depth, to be used or handed back
	filledAt  time.Time

	arrivals        float64 // since countedAt
	demandUpdatedAt time.Time
	demand          float64 // requests a second, smoothed
	lastArrivalAt   time.Time
	exhaustedUntil  time.Time // the allocator has nothing until then, by its last word
	nextGrantAt     time.Time // it may have something from then on
}

func newLeasedBuckets(p Policy) *leasedBuckets {
	return &leasedBuckets{policy: p, byTenant: make(map[string]*leasedBucket)}
}

func (b *leasedBuckets) bucket(now time.Time, tenant string) *leasedBucket {
	t := b.byTenant[tenant]
	if t == nil {
		t = &leasedBucket{filledAt: now, demandUpdatedAt: now, lastArrivalAt: now, demand: 1 / firstDemandSpan.Seconds()}
		b.byTenant[tenant] = t
	}
	t.fill(now)
	return t
}

// fill adds what the lease gives, up to its depth; without a lease there is nothing.
func (t *leasedBucket) fill(now time.Time) {
	if !now.Before(t.expiresAt) {
		t.lease = Share{}
		t.tokens, t.surplus = 0, 0
		t.filledAt = now
		return
	}
	t.tokens += t.lease.Rate * max(0, now.Sub(t.filledAt).Seconds())
	t.filledAt = now
	if over := t.tokens - t.lease.Depth; over > 0 {
		t.tokens = t.lease.Depth
		t.surplus = min(t.surplus+over, t.lease.Rate*surplusSpan.Seconds())
	}
}

// takeOnArrival counts a request and takes a token for it, if there is one.
func (b *leasedBuckets) takeOnArrival(now time.Time, tenant string) bool {
	t := b.bucket(now, tenant)
	t.arrivals++
	t.lastArrivalAt = now
	return t.take()
}

// take takes a token, first of those that would be handed back.
func (t *leasedBucket) take() bool {
	if t.tokens+t.surplus < 1 {
		return false
	}
	fromSurplus := min(t.surplus, 1)
	t.surplus -= fromSurplus
	t.tokens -= 1 - fromSurplus
	return true
}

// refund returns the token of a request that was not sent.
func (b *leasedBuckets) refund(now time.Time, tenant string) {
	t := b.bucket(now, tenant)
	t.tokens = min(t.tokens+1, t.lease.Depth)
}

// exhaustedFor tells how much longer the allocator has nothing for the tenant, by its last word.
func (b *leasedBuckets) exhaustedFor(now time.Time, tenant string) time.Duration {
	return b.bucket(now, tenant).exhaustedUntil.Sub(now)
}

// grantAfter tells in how much time the allocator may have something for the tenant, by its last word.
func (b *leasedBuckets) grantAfter(now time.Time, tenant string) time.Duration {
	return max(0, b.bucket(now, tenant).nextGrantAt.Sub(now))
}

// tokenAfter tells in how much time a tenant's lease will have given a token, beyond one for each of those that wait.
func (b *leasedBuckets) tokenAfter(now time.Time, tenant string, waiting int) time.Duration {
	t := b.bucket(now, tenant)
	if t.lease.Rate <= 0 {
		return maxTokenWait
	}
	missing := float64(waiting+1) - t.tokens - t.surplus
	seconds := max(0, missing) / t.lease.Rate
	return time.Duration(min(seconds, maxTokenWait.Seconds()) * float64(time.Second))
}

// endLeases gives up all leases.
func (b *leasedBuckets) endLeases() {
	for _, t := range b.byTenant {
		t.expiresAt = time.Time{}
		t.lease = Share{}
		t.tokens, t.surplus = 0, 0
	}
}

// renewalEntries gives the entries of a message to the allocator: of all tenants that send, or only of those that need.
func (b *leasedBuckets) renewalEntries(now time.Time, needs map[string]int, all bool) []Entry {
	var entries []Entry
	for tenant, t := range b.byTenant {
		need := needs[tenant]
		if !all && need == 0 {
			continue
		}
		if need == 0 && now.Sub(t.lastArrivalAt) > idleTimeout {
			delete(b.byTenant, tenant)
			continue
		}
		t.fill(now)
		t.updateDemand(now)
		e := Entry{Tenant: tenant, Held: t.lease, Demand: t.demand, Need: need, Returned: t.surplus}
		t.surplus = 0 // also if the message is lost
		entries = append(entries, e)
	}
	return entries
}

// updateDemand takes the arrivals into the smoothed demand.
func (t *leasedBucket) updateDemand(now time.Time) {
	span := now.Sub(t.demandUpdatedAt)
	if span <= 0 {
		return
	}
	gain := span.Seconds() / (span + demandTimeConstant).Seconds()
	t.demand += gain * (t.arrivals/span.Seconds() - t.demand)
	t.arrivals = 0
	t.demandUpdatedAt = now
}

// apply takes an answer to entries that were sent at askedAt. It gives the requests granted, by tenant.
func (b *leasedBuckets) apply(now, askedAt time.Time, entries []Entry, grants []Grant) map[string]int {
	granted := make(map[string]int)
	for i, e := range entries {
		t := b.byTenant[e.Tenant]
		if t == nil {
			continue
		}
		g := grants[i]
		t.fill(now)
		t.expiresAt = askedAt.Add(b.policy.Lease)
		t.lease = g.Lease
		t.fill(now)
		granted[e.Tenant] = g.Granted
		if g.Granted < e.Need {
			t.exhaustedUntil = now.Add(min(g.RetryAfter, maxExhaustedTime))
			t.nextGrantAt = now.Add(g.RetryAfter)
		}
	}
	return granted
}
