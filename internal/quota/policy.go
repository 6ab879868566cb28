package quota

import (
	"time"

	"nickelline/internal/settings"
)

// Limit is what a tenant may send over all nodes. A rate of 0 is no limit.
type Limit struct{ Rate, Burst float64 }

// Policy holds the times and allowances, which proxies and allocators have to share.
type Policy struct {
	// Window is the span in which the rule counts requests.
	Window time.Duration
	// Lease is how long a lease lasts unless it is renewed.
	Lease time.Duration
	// Overshoot and Allowance are what the rule bears beyond the limit: a part of it and a number.
	Overshoot, Allowance float64
}

const (
	minLease       = 2 * time.Second
	maxLease       = 4 * time.Second // longer than a head is replaced in, shorter than the rule's window
	defaultWindow  = 5 * time.Second
	slackFraction  = 0.7 // of what the rule bears; the rest is for requests that are sent late and for clocks
	leasedFraction = 0.9 // of the rate that leases may take: the rest fills the allocator's bucket
	surplusSpan    = renewPeriod
)

// PolicyOf takes the policy from the settings' bounds.
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

// capacity is how many requests may be saved up in all buckets of a tenant together, besides what proxies have still to
// hand back.
func (p *Policy) capacity(l Limit) float64 {
	slack := p.Overshoot*(l.Rate*p.Window.Seconds()+l.Burst) + p.Allowance
	surplus := leasedFraction * l.Rate * surplusSpan.Seconds()
	return l.Burst + slackFraction*max(0, slack-surplus)
}

// Share is what a lease gives: requests a second, and requests that may be saved up.
type Share struct{ Rate, Depth float64 }
