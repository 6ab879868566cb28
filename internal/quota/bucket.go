package quota

import (
	"time"
)

const (
	demandTimeConstant = 1500 * time.Millisecond // of the exponential smoothing of a tenant's demand
	idleTimeout        = 10 * time.Second        // time without requests after which a tenant's lease is given up
	maxExhaustedTime   = 100 * time.Millisecond  // longest time for which an answer without enough grants is relied on
	maxPredictedWait   = time.Minute             // upper bound of the predicted wait for a token of a lease
	firstDemandSpan    = 500 * time.Millisecond  // the initial demand of a tenant is one request in this time
)

// leasedBuckets are the token buckets of a proxy. They read no clock, do no I/O and are not safe for concurrent use.
type leasedBuckets struct {
	policy   Policy
	byTenant map[string]*leasedBucket
}

// leasedBucket is the token bucket of one tenant, which a lease fills. It also measures the demand that the proxy reports.
type leasedBucket struct {
	lease       Share
	expiresAt   time.Time // of the lease
	tokens      float64
	surplus     float64       // tokens given by the lease beyond its depth, which are used or returned
	returning   float64       // surplus that the latest renewal has returned
	surplusSpan time.Duration // Policy.surplusSpan
	filledAt    time.Time
	// returningUntil is the time until which the allocator may receive returning; zero if the renewal was answered.
	returningUntil time.Time

	arrivals        float64 // since demandUpdatedAt
	demandUpdatedAt time.Time
	demand          float64 // requests a second, smoothed
	lastArrivalAt   time.Time
	exhaustedUntil  time.Time // until then the allocator grants nothing, according to its last answer
	nextGrantAt     time.Time // from then on the allocator may grant something
	refusal         outcome   // of requests that get no token: exhausted if the last answer says so, otherwise unsettled
}

func newLeasedBuckets(p Policy) *leasedBuckets {
	return &leasedBuckets{policy: p, byTenant: make(map[string]*leasedBucket)}
}

// bucket returns a tenant's bucket, filled up to now.
func (b *leasedBuckets) bucket(now time.Time, tenant string) *leasedBucket {
	bucket := b.byTenant[tenant]
	if bucket == nil {
		bucket = &leasedBucket{
			surplusSpan:     b.policy.surplusSpan(),
			filledAt:        now,
			demandUpdatedAt: now,
			lastArrivalAt:   now,
			demand:          1 / firstDemandSpan.Seconds(),
			refusal:         unsettled,
		}
		b.byTenant[tenant] = bucket
	}
	bucket.fill(now)
	return bucket
}

// fill adds the tokens that the lease has given since the last call: up to its depth to the tokens, the rest to the
// surplus. An expired lease gives no tokens, and fill then empties the bucket. An earlier time than that of the last call has
// no effect: a caller may have waited for the mutex after it read the clock.
func (bucket *leasedBucket) fill(now time.Time) {
	if now.Before(bucket.filledAt) {
		return
	}
	if !now.Before(bucket.expiresAt) {
		bucket.lease = Share{}
		bucket.tokens, bucket.surplus = 0, 0
		bucket.filledAt = now
		return
	}
	bucket.tokens += bucket.lease.Rate * now.Sub(bucket.filledAt).Seconds()
	bucket.filledAt = now
	over := max(0, bucket.tokens-bucket.lease.Depth)
	bucket.tokens -= over
	bucket.surplus = min(bucket.surplus+over, bucket.maxSurplus(now))
}

// maxSurplus returns how much surplus the bucket may hold. Surplus that the allocator may still receive counts too.
func (bucket *leasedBucket) maxSurplus(now time.Time) float64 {
	surplus := bucket.lease.Rate * bucket.surplusSpan.Seconds()
	if now.Before(bucket.returningUntil) {
		surplus -= bucket.returning
	}
	return max(0, surplus)
}

// returnSurplus takes the surplus out of the bucket, to be returned by a renewal. Until the renewal is answered the allocator
// may receive it, so that no more is returned, but not after HeadProofLifetime: an allocator that was held up for so long
// answers nothing before it is proven to be the head again.
func (bucket *leasedBucket) returnSurplus(now time.Time) float64 {
	if now.Before(bucket.returningUntil) {
		return 0
	}
	bucket.returning = bucket.surplus
	bucket.returningUntil = now.Add(HeadProofLifetime)
	bucket.surplus = 0 // lost if the message is lost, so that it is never returned twice
	return bucket.returning
}

// takeOnArrival counts the arrival of a request and takes a token for it. It reports whether there was a token.
func (b *leasedBuckets) takeOnArrival(now time.Time, tenant string) bool {
	bucket := b.bucket(now, tenant)
	bucket.arrivals++
	bucket.lastArrivalAt = now
	return bucket.take()
}

// take takes a token, from the surplus first. It reports whether there was a token.
func (bucket *leasedBucket) take() bool {
	if bucket.tokens+bucket.surplus < 1 {
		return false
	}
	fromSurplus := min(bucket.surplus, 1)
	bucket.surplus -= fromSurplus
	bucket.tokens -= 1 - fromSurplus
	return true
}

// refund puts back the token of a request that was not executed, or does nothing if the token was taken more than
// Policy.refundSpan ago: a bucket that was empty meanwhile has been filled again.
func (b *leasedBuckets) refund(now, takenAt time.Time, tenant string) {
	if now.Sub(takenAt) > b.policy.refundSpan() {
		return
	}
	bucket := b.bucket(now, tenant)
	bucket.tokens = min(bucket.tokens+1, bucket.lease.Depth)
}

// exhaustedFor returns how much longer the allocator grants the tenant nothing, according to its last answer.
func (b *leasedBuckets) exhaustedFor(now time.Time, tenant string) time.Duration {
	return b.bucket(now, tenant).exhaustedUntil.Sub(now)
}

// refusalOf returns the outcome for a request that has waited without getting a token: exhausted if the tenant's rate is
// used up according to the allocator's last answer, otherwise unsettled.
func (b *leasedBuckets) refusalOf(now time.Time, tenant string) outcome {
	return b.bucket(now, tenant).refusal
}

// grantAfter returns the time until the allocator may grant the tenant something, according to its last answer.
func (b *leasedBuckets) grantAfter(now time.Time, tenant string) time.Duration {
	return max(0, b.bucket(now, tenant).nextGrantAt.Sub(now))
}

// tokenAfter returns the time until a tenant's lease gives a token that is left over by the requests that already wait.
func (b *leasedBuckets) tokenAfter(now time.Time, tenant string, waiting int) time.Duration {
	bucket := b.bucket(now, tenant)
	if bucket.lease.Rate <= 0 {
		return maxPredictedWait
	}
	missing := float64(waiting+1) - bucket.tokens - bucket.surplus
	seconds := max(0, missing) / bucket.lease.Rate
	return time.Duration(min(seconds, maxPredictedWait.Seconds()) * float64(time.Second))
}

// endLeases gives up all leases.
func (b *leasedBuckets) endLeases() {
	for _, bucket := range b.byTenant {
		bucket.expiresAt = time.Time{}
		bucket.lease = Share{}
		bucket.tokens, bucket.surplus = 0, 0
	}
}

// renewalEntries returns the entries of a renewal: for all tenants with recent requests if all is set, otherwise only for
// those that need grants. With all set it also removes the buckets of tenants without recent requests.
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
		entry := Entry{Tenant: tenant, Held: bucket.lease, Demand: bucket.demand, Need: need}
		entry.Returned = bucket.returnSurplus(now)
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

// apply applies the grants for entries that were sent at askedAt. It returns the number of granted requests of each
// tenant.
func (b *leasedBuckets) apply(now, askedAt time.Time, entries []Entry, grants []Grant) map[string]int {
	granted := make(map[string]int)
	for i, entry := range entries {
		bucket := b.byTenant[entry.Tenant]
		if bucket == nil {
			continue
		}
		grant := grants[i]
		bucket.fill(now)
		bucket.returningUntil = time.Time{}
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
