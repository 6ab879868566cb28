package quota

import (
	"time"
)

const (
	demandTimeConstant = 1500 * time.Millisecond // smoothing of a tenant's arrivals
	idleTimeout        = 10 * time.Second        // without requests, after which a tenant's lease is given up
	maxExhaustedTime   = 100 * time.Millisecond  // for which an answer that there is no more counts, at most
	maxTokenWait       = time.Minute             // for a token that a lease will give
	firstDemandSpan    = 500 * time.Millisecond  // a first request counts as one in this time
)

// leasedBuckets are the token buckets of a proxy. They read no clock, do no I/O and are not safe for concurrent use.
type leasedBuckets struct {
	policy   Policy
	byTenant map[string]*leasedBucket
}

// leasedBucket is the token bucket of one tenant, which a lease fills, with the demand that the proxy reports.
type leasedBucket struct {
	lease     Share
	expiresAt time.Time // of the lease
	tokens    float64
	surplus   float64 // given by the lease beyond its depth, to be used or returned
	filledAt  time.Time

	arrivals        float64 // since demandUpdatedAt
	demandUpdatedAt time.Time
	demand          float64 // requests a second, smoothed
	lastArrivalAt   time.Time
	exhaustedUntil  time.Time // the allocator has nothing until then, by its last answer
	nextGrantAt     time.Time // it may have something from then on
	refusal         outcome   // of requests that wait in vain: exhausted if the last answer says so, or else unsettled
}

func newLeasedBuckets(p Policy) *leasedBuckets {
	return &leasedBuckets{policy: p, byTenant: make(map[string]*leasedBucket)}
}

// bucket returns a tenant's bucket, filled up to now.
func (b *leasedBuckets) bucket(now time.Time, tenant string) *leasedBucket {
	bucket := b.byTenant[tenant]
	if bucket == nil {
		bucket = &leasedBucket{filledAt: now, demandUpdatedAt: now, lastArrivalAt: now, demand: 1 / firstDemandSpan.Seconds()}
		bucket.refusal = unsettled
		b.byTenant[tenant] = bucket
	}
	bucket.fill(now)
	return bucket
}

// fill adds what the lease has given since the last call, up to its depth. An expired lease gives nothing and empties
// the bucket.
func (bucket *leasedBucket) fill(now time.Time) {
	if !now.Before(bucket.expiresAt) {
		bucket.lease = Share{}
		bucket.tokens, bucket.surplus = 0, 0
		bucket.filledAt = now
		return
	}
	bucket.tokens += bucket.lease.Rate * max(0, now.Sub(bucket.filledAt).Seconds())
	bucket.filledAt = now
	if over := bucket.tokens - bucket.lease.Depth; over > 0 {
		bucket.tokens = bucket.lease.Depth
		bucket.surplus = min(bucket.surplus+over, bucket.lease.Rate*surplusSpan.Seconds())
	}
}

// takeOnArrival counts a request and takes a token for it. It reports whether there was one.
func (b *leasedBuckets) takeOnArrival(now time.Time, tenant string) bool {
	bucket := b.bucket(now, tenant)
	bucket.arrivals++
	bucket.lastArrivalAt = now
	return bucket.take()
}

// take takes a token, from the surplus first. It reports whether there was one.
func (bucket *leasedBucket) take() bool {
	if bucket.tokens+bucket.surplus < 1 {
		return false
	}
	fromSurplus := min(bucket.surplus, 1)
	bucket.surplus -= fromSurplus
	bucket.tokens -= 1 - fromSurplus
	return true
}

// refund puts back the token of a request that was not sent.
func (b *leasedBuckets) refund(now time.Time, tenant string) {
	bucket := b.bucket(now, tenant)
	bucket.tokens = min(bucket.tokens+1, bucket.lease.Depth)
}

// exhaustedFor returns how much longer the allocator has nothing for the tenant, by its last answer.
func (b *leasedBuckets) exhaustedFor(now time.Time, tenant string) time.Duration {
	return b.bucket(now, tenant).exhaustedUntil.Sub(now)
}

// refusalOf returns why a request gets no token that has waited in vain: by the last answer the tenant's rate is used up, or
// that is not known.
func (b *leasedBuckets) refusalOf(now time.Time, tenant string) outcome {
	return b.bucket(now, tenant).refusal
}

// grantAfter returns when the allocator may have something for the tenant, by its last answer.
func (b *leasedBuckets) grantAfter(now time.Time, tenant string) time.Duration {
	return max(0, b.bucket(now, tenant).nextGrantAt.Sub(now))
}

// tokenAfter returns when a tenant's lease will have given a token, after one for each request that waits.
func (b *leasedBuckets) tokenAfter(now time.Time, tenant string, waiting int) time.Duration {
	bucket := b.bucket(now, tenant)
	if bucket.lease.Rate <= 0 {
		return maxTokenWait
	}
	missing := float64(waiting+1) - bucket.tokens - bucket.surplus
	seconds := max(0, missing) / bucket.lease.Rate
	return time.Duration(min(seconds, maxTokenWait.Seconds()) * float64(time.Second))
}

// endLeases gives up all leases.
func (b *leasedBuckets) endLeases() {
	for _, bucket := range b.byTenant {
		bucket.expiresAt = time.Time{}
		bucket.lease = Share{}
		bucket.tokens, bucket.surplus = 0, 0
	}
}

// renewalEntries returns the entries of a renewal, of all tenants with recent requests or only of those that need
// grants. It forgets tenants without recent requests.
func (b *leasedBuckets) renewalEntries(now time.Time, needs map[string]int, all bool) []Entry {
	var entries []Entry
	for tenant, bucket := range b.byTenant {
		need := needs[tenant]
		if !all && need == 0 {
			continue
		}
		if need == 0 && now.Sub(bucket.lastArrivalAt) > idleTimeout {
			delete(b.byTenant, tenant)
			continue
		}
		bucket.fill(now)
		bucket.updateDemand(now)
		entry := Entry{Tenant: tenant, Held: bucket.lease, Demand: bucket.demand, Need: need, Returned: bucket.surplus}
		bucket.surplus = 0 // also if the message is lost
		entries = append(entries, entry)
	}
	return entries
}

// updateDemand adds the arrivals since the last call to the smoothed demand.
func (bucket *leasedBucket) updateDemand(now time.Time) {
	span := now.Sub(bucket.demandUpdatedAt)
	if span <= 0 {
		return
	}
	gain := span.Seconds() / (span + demandTimeConstant).Seconds()
	bucket.demand += gain * (bucket.arrivals/span.Seconds() - bucket.demand)
	bucket.arrivals = 0
	bucket.demandUpdatedAt = now
}

// apply takes over the grants for entries that were sent at askedAt. It returns how many waiting requests each tenant
// was granted.
func (b *leasedBuckets) apply(now, askedAt time.Time, entries []Entry, grants []Grant) map[string]int {
	granted := make(map[string]int)
	for i, entry := range entries {
		bucket := b.byTenant[entry.Tenant]
		if bucket == nil {
			continue
		}
		grant := grants[i]
		bucket.fill(now)
		bucket.expiresAt = askedAt.Add(b.policy.Lease)
		bucket.lease = grant.Lease
		bucket.fill(now)
		granted[entry.Tenant] = grant.Granted
		if grant.Granted < entry.Need {
			bucket.exhaustedUntil = now.Add(min(grant.RetryAfter, maxExhaustedTime))
			bucket.nextGrantAt = now.Add(grant.RetryAfter)
		}
		bucket.refusal = unsettled
		if grant.Granted < entry.Need && !grant.Unsettled {
			bucket.refusal = exhausted
		}
	}
	return granted
}
