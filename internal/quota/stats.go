package quota

import "time"

// Stats holds the current statistics of a limiter.
type Stats struct {
	// Leases is the number of tenants with a lease in force, Waiting the number of requests that wait for a token.
	Leases, Waiting int
	// Rate is the sum of the rates of all leases in force, in requests a second.
	Rate float64
}

// Stats returns the statistics of the limiter at the given time.
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
