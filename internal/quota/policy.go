package quota

import (
	"time"

	"nickelline/internal/settings"
)

// Limit is what a tenant may send over all nodes: requests a second, and requests at once. A rate of 0 means unlimited.
type Limit struct{ Rate, Burst float64 }

// Policy holds the times and tolerances of the rule. Proxies and allocators have to use the same.
type Policy struct {
	// Window is the span in which the rule counts requests. Default: defaultWindow.
	Window time.Duration
	// Lease is how long a lease lasts unless it is renewed: the window, within minLease and maxLease. It also bounds the
	// grace period of a new allocator, so a longer lease bears longer failures of the control nodes but makes the shares of
	// lost proxies unusable for longer.
	Lease time.Duration
	// Overshoot and Allowance are what the rule tolerates beyond the limit: a fraction of it, and a number of requests.
	Overshoot, Allowance float64
}

const (
	minLease       = 2 * time.Second // also with a shorter window
	maxLease       = 4 * time.Second // longer than the replacement of a head takes, shorter than the rule's window
	defaultWindow  = 5 * time.Second
	slackFraction  = 0.7         // of what the rule tolerates; the rest is for requests that are sent late and for clock drift
	leasedFraction = 0.9         // of the rate that leases may take; the rest fills the allocator's bucket
	surplusSpan    = renewPeriod // a bucket keeps the surplus of so much time until it is returned
)

// PolicyOf returns the policy of the settings' bounds.
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

// capacity returns how many requests all buckets of a tenant may save up together, without the surplus that proxies
// have still to return.
func (p *Policy) capacity(l Limit) float64 {
	slack := p.Overshoot*(l.Rate*p.Window.Seconds()+l.Burst) + p.Allowance
	surplus := leasedFraction * l.Rate * surplusSpan.Seconds()
	return l.Burst + slackFraction*max(0, slack-surplus)
}

// Share is the share of a limit that a lease grants: requests a second, and the depth of the token bucket in requests.
type Share struct{ Rate, Depth float64 }

// minShare returns the smaller rate and the smaller depth.
func minShare(a, b Share) Share {
	return Share{Rate: min(a.Rate, b.Rate), Depth: min(a.Depth, b.Depth)}
}

// maxShare returns the larger rate and the larger depth.
func maxShare(a, b Share) Share {
	return Share{Rate: max(a.Rate, b.Rate), Depth: max(a.Depth, b.Depth)}
}
