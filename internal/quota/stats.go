package quota

import "time"

// Stats are the figures of a limiter.
type Stats struct {
	// Leases counts the tenants with a lease that is in force, Waiting the requests that wait for a grant.
	Leases, Waiting int
	// Rate is what all leases allow, requests a second.
	Rate float64
}

// Stats returns the current figures.
func (l *Limiter) Stats(now time.Time) Stats {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var stats Stats
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
