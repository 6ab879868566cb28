// Package quota limits the rate of each tenant over all nodes together.
//
// The Allocator runs at the head of the control chain. It leases shares of a tenant's limit to proxies. A share has a
// rate (requests a second) and a depth (requests that may be saved up); the proxy's Limiter fills a token bucket with
// it. Shares follow demand, which proxies report when they renew their leases. What is not leased of the rate fills a
// bucket at the allocator, from which a proxy without tokens is granted single requests.
//
// # Guarantees
//
// No window holds more requests of a tenant than the rule allows. At each moment the rates of all leases and the rate
// that fills the allocator's bucket add up to the tenant's rate at most, and the depths of all buckets add up to its
// burst and a fraction of the rule's allowance at most:
//
//   - A reduced share stays outstanding at the allocator until its leaseholder has confirmed the reduction by a renewal,
//     or the lease has expired.
//   - What a lease gives beyond its depth is returned to the allocator's bucket by the next renewal.
//   - New buckets are empty but for reserves, which no allocator before has granted.
//
// # What stops an old leaseholder
//
// A Limiter measures the lifetime of a lease by its own monotonic clock, from the moment when it asked. An expired
// lease gives no tokens (leasedBucket.fill). The Allocator measures from the moment when it answered, and adds
// HeadProofLifetime, for which a former head may take itself for the head. So a lease ends at its leaseholder before the
// allocator gives its share to others.
//
// # What stops an old allocator
//
// A Service answers as the allocator only while its HeadStatus is fresh. A new one begins with a change of the Registry,
// which holds the processes that may hold leases: this change, committed by the control chain, makes all later changes
// of former allocators fail (RegistryChange). Nothing is granted to a process that is not registered, so a former
// allocator cannot grant anything to processes that started meanwhile. And a Limiter rejects answers of an older epoch
// than the newest it knows (Limiter.checkAnswer), so what it has presented to an allocator no former one adds to.
//
// # What a new allocator knows
//
// It starts with a grace period, as an NFSv4 server does after a restart (RFC 8881, section 8.4.2): until all registered
// processes have reclaimed their leases, it grants nothing but what leaseholders release. The grace period ends when each
// registered process has presented all of its leases, or has been replaced by another process at its address, and at the
// latest when the leases of the former allocator have expired: after Policy.Lease + HeadProofLifetime.
//
// Its buckets begin with the reserves that the former allocator has kept: a part of each bucket that is granted only after
// the registry has it recorded as spent. As the first change of an allocator records all reserves as spent, each of them has
// one owner. The new allocator may grant them within the grace period. docs/design/quota-reserves.md has the proof.
//
// # Goroutines
//
// The caller starts Limiter.Run and waits for it; it ends with its context, after which Limiter.Leave may release the
// leases. Limiter.Take runs on the goroutine of the request; a request that waits for a token of its lease is resolved by
// a timer (Limiter.resolveLater), one that waits for a grant by Run.
//
// A Service has no goroutine while nothing changes. registryUpdater.run is started when the registry has to be changed,
// and ends when no change is due or the node is not the head. Timers end by themselves: Service.activate when the
// allocator has started or after activationAttempts, Service.announce when all leases are reclaimed.
//
// Allocator and leasedBuckets read no clock, do no I/O and are guarded by the mutexes of their owners.
//
// # Files in reading order
//
//   - policy.go: limits, and the times and allowances of the rule
//   - message.go, codec.go: what proxies and allocators send each other
//   - allocator.go, account.go, leaseholders.go: sharing out, grace period, expiry
//   - reserves.go: what is kept for the next allocator
//   - registry.go, activation.go, service.go: the allocator at a control node
//   - bucket.go: the token buckets of a proxy
//   - limiter.go, take.go, waiting.go, renewal.go: the limiter of a proxy
package quota
