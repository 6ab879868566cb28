package quota

import (
	"time"

	"nickelline/internal/settings"
)

// Limit bounds the requests of a tenant over all nodes together: Rate in requests a second, Burst in requests at once. A
// rate of 0 means unlimited.
type Limit struct{ Rate, Burst float64 }

// Policy says how limits are enforced: in any span of Window, at most (Rate*Window + Burst) * (1+Overshoot) + Allowance
// requests of a tenant are admitted. Proxies and allocators must use the same policy.
type Policy struct {
	// Window is the span in which requests are counted. Default: defaultWindow.
	Window time.Duration
	// Lease is how long a lease lasts unless it is renewed: the window, within minLease and maxLease. It also bounds the
	// grace period of a new allocator. A longer lease tolerates longer failures of the control nodes, but the shares of lost
	// proxies stay unusable for longer.
	Lease time.Duration
	// Overshoot and Allowance are the tolerance beyond the limit: a fraction of the limit, and a number of requests. Without
	// an Overshoot, proxies cannot return tokens that they do not use, and tenants get less than their rate.
	Overshoot, Allowance float64
}

const (
	minLease       = 2 * time.Second // even if the window is shorter
	maxLease       = 4 * time.Second // longer than the replacement of a head takes, shorter than the default window
	defaultWindow  = 5 * time.Second
	leasedFraction = 0.9 // of the rate, for all leases together; the rest fills the allocator's bucket

	// Parts of the policy's tolerance. The surplus is bounded by the part of the tolerance that every limit has, even without
	// a burst and an allowance, since proxies do not know the limit.
	slackFraction   = 0.95 // for the capacity and the surplus together; the rest is for refunds
	surplusFraction = 0.94 // for the surplus
	refundFraction  = 0.05 // for refunds
)

// PolicyOf returns the policy that the bounds in the settings define.
func PolicyOf(b *settings.Bounds) Policy {
	window := settings.Seconds(b.QuotaWindowS)
	if window <= 0 {
		window = defaultWindow
	}
	return Policy{
		Window:    window,
		Lease:     min(max(window, minLease), maxLease),
		Overshoot: b.QuotaOvershoot,
		Allowance: b.QuotaAllowance,
	}
}

// surplusSpan returns how long a lease may give tokens beyond its depth: until the surplus is returned, a bucket keeps at
// most what its lease gives in this time.
func (p *Policy) surplusSpan() time.Duration {
	return min(renewPeriod, time.Duration(surplusFraction*p.Overshoot*float64(p.Window)))
}

// refundSpan returns how long after its admission the token of a request may be refunded. In this time its lease may have
// given another token.
func (p *Policy) refundSpan() time.Duration {
	return time.Duration(refundFraction * p.Overshoot * float64(p.Window))
}

// capacity returns how many requests all buckets of a tenant may save up together, not counting the surplus that proxies
// have yet to return. The rates of all leases together may be the whole rate, so the surplus may be what the rate gives in
// surplusSpan.
func (p *Policy) capacity(l Limit) float64 {
	slack := p.Overshoot*(l.Rate*p.Window.Seconds()+l.Burst) + p.Allowance
	surplus := l.Rate * p.surplusSpan().Seconds()
	return l.Burst + slackFraction*slack - surplus
}

// Share is the part of a limit that a lease grants: Rate in requests a second, and Depth of the token bucket in requests.
type Share struct{ Rate, Depth float64 }

// minShare returns the smaller rate and the smaller depth.
func minShare(a, b Share) Share {
	return Share{Rate: min(a.Rate, b.Rate), Depth: min(a.Depth, b.Depth)}
}

// maxShare returns the larger rate and the larger depth.
func maxShare(a, b Share) Share {
	return Share{Rate: max(a.Rate, b.Rate), Depth: max(a.Depth, b.Depth)}
}
