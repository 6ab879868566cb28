package quota

import "time"

// Stats holds the current statistics of a limiter.
type Stats struct {
	// Leases is the number of tenants with a lease in force, Waiting the number of requests that wait for a token.
	Leases, Waiting int
	// Rate is the sum of the rates of all leases in force, in requests a second.
	Rate float64
	Admissions
}

// Admissions count the requests that a limiter has admitted since its start.
type Admissions struct {
	// FromLeases were admitted with tokens of leases, FromAllocator with grants of the allocator.
	FromLeases, FromAllocator uint64
	// Refunded were admitted and later returned as not executed.
	Refunded uint64
}

// AllocatorStats holds the current statistics of an allocator.
type AllocatorStats struct {
	// InGrace tells that the grace period has not ended, Unreclaimed how many leaseholders have not reclaimed their leases.
	InGrace     bool
	Unreclaimed int
	// HighestLevel is the highest level of all tenants: what the allocator's bucket holds and the depths of the leases together,
	// as a fraction of the capacity that the policy allows.
	HighestLevel float64
	// Granted and Returned count the requests that the allocator has granted and the tokens that proxies have returned, since it
	// started.
	Granted, Returned float64
}

// Stats returns the statistics of the limiter at the given time.
func (l *Limiter) Stats(now time.Time) Stats {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	stats := Stats{Admissions: l.admissions}
	for _, b := range l.buckets.byTenant {
		if now.Before(b.expiresAt) {
			stats.Leases++
			stats.Rate += b.lease.Rate
		}
	}
	for _, waiting := range l.waiting {
		stats.Waiting += len(waiting)
	}
	return stats
}

// Stats returns the statistics of the allocator at the given time.
func (a *Allocator) Stats(now time.Time) AllocatorStats {
	return AllocatorStats{
		InGrace:      !a.graceEnded(now),
		Unreclaimed:  a.unreclaimed,
		HighestLevel: a.highestLevel(),
		Granted:      a.granted,
		Returned:     a.returned,
	}
}

// highestLevel returns AllocatorStats.HighestLevel.
func (a *Allocator) highestLevel() float64 {
	highest := 0.0
	for tenant, account := range a.tenants {
		if limit := a.limits(tenant); limit.Rate > 0 {
			highest = max(highest, (account.tokens+account.leased.Depth)/a.policy.capacity(limit))
		}
	}
	return highest
}

// AllocatorStats returns the statistics of the allocator, and false if this node is not the allocator.
func (s *Service) AllocatorStats(now time.Time) (AllocatorStats, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	allocator := s.activeAllocator()
	if allocator == nil {
		return AllocatorStats{}, false
	}
	return allocator.Stats(now), true
}
