// Package quota limits the rate of each tenant over all nodes together.
//
// The Allocator runs at the head of the control chain. It leases shares of a tenant's limit to proxies. A share has a
// rate (requests a second) and a depth (requests that may be saved up); the proxy's Limiter fills a token bucket with
// it. Shares follow demand, which proxies report when they renew their leases. The part of the rate that is not leased
// fills a bucket at the allocator, from which it grants single requests to a proxy without tokens.
//
// # Guarantees
//
// In any span of Policy.Window, no more requests of a tenant are admitted than its limit and the policy's tolerance allow
// (see Policy). At each moment the rates of all leases and the rate that fills the allocator's bucket add up to at most
// the tenant's rate, and the depths of all buckets add up to at most its burst and a fraction of the tolerance:
//
//   - A reduced share stays outstanding at the allocator until its leaseholder has confirmed the reduction by a renewal,
//     or the lease has expired.
//   - The tokens that a lease gives beyond its depth are returned to the allocator's bucket by the next renewal.
//   - The depths of all leases take a fixed fraction of the capacity at most, and the allocator's bucket never holds more
//     than the rest, in the grace period too.
//   - New buckets are empty except for reserves, which no former allocator has granted.
//
// # Fencing of old leaseholders
//
// A Limiter measures the lifetime of a lease by its own monotonic clock, from the moment when it sent the renewal. An
// expired lease gives no tokens (leasedBucket.fill). The Allocator measures from the moment when it answered, and adds
// HeadProofLifetime, for which a former head may still consider itself the head. So a lease ends at its leaseholder before
// the allocator gives its share to others.
//
// # Fencing of old allocators
//
// A Service answers as the allocator only while its HeadStatus is fresh. A new allocator begins with a change of the
// Registry, which lists the processes that may hold leases: this change, committed by the control chain, makes all later
// changes of former allocators fail (RegistryChange). Nothing is granted to a process that is not registered, so a former
// allocator cannot grant anything to processes that have started since. A Limiter rejects answers of an older epoch than
// the newest it knows (Limiter.checkAnswer), so no former allocator adds to the leases that it has presented to a newer one.
//
// # Start of a new allocator
//
// A new allocator starts with a grace period, as an NFSv4 server does after a restart (RFC 8881, section 8.4.2): until all
// registered processes have reclaimed their leases, it leases only what leaseholders release. The grace period ends when
// each registered process has presented all of its leases, or has been replaced by another process at its address, and at
// the latest when the leases of the former allocator have expired: after Policy.Lease + HeadProofLifetime.
//
// The buckets of a new allocator begin with the reserves that the former allocator has kept. A reserve is a part of a
// bucket that is granted only after the registry has recorded it as spent. As the first change of an allocator records all
// reserves as spent, each reserve has one owner, and the new allocator may grant it within the grace period.
// docs/design/quota-reserves.md has the proof.
//
// # Goroutines
//
// The caller starts Limiter.Run and waits for it. Run ends with its context, after which Limiter.Leave may release the
// leases. Limiter.Take runs on the goroutine of the request. A request that waits for a token of its lease is resolved by
// a timer (Limiter.resolveLater), and one that waits for a grant of the allocator by Run.
//
// A Service has no goroutine while nothing changes. registryUpdater.run is started when the registry has to be changed,
// and ends when no change is due or the node is not the head. Timers stop by themselves: that of Service.activate when the
// allocator has started or after activationAttempts, that of Service.announce when all leases are reclaimed.
//
// Allocator and leasedBuckets read no clock, do no I/O and are guarded by the mutexes of their owners.
//
// # Files in reading order
//
//   - policy.go: limits, and the window, lease time and tolerance with which they are enforced
//   - message.go, codec.go: the messages between proxies and allocators
//   - allocator.go, account.go, leaseholders.go: allocation of shares, grace period, expiry
//   - reserves.go: the tokens that are kept for the next allocator
//   - registry.go, activation.go, service.go: the allocator at a control node
//   - bucket.go: the token buckets of a proxy
//   - limiter.go, take.go, refusal.go, waiting.go, renewal.go: the limiter of a proxy
//   - stats.go: metrics of the limiter
package quota
