// Package quota holds tenants to their rates over all nodes together.
//
// The Allocator, at the head of the control chain, leases each tenant's rate and burst to proxies. A lease is a part of
// the rate (requests a second) and a depth (requests that may be saved up); the proxy's Limiter fills a token bucket
// with it. Leases follow demand, which proxies report when they renew them, and end by the steady clock. The part of the
// rate that is not leased fills a bucket at the allocator, from which a proxy that is out of tokens gets single grants.
//
// Why no window holds more than the rule allows: at each moment the rates of all leases and the filling of the
// allocator's bucket add up to the tenant's rate at most, and the depths of all buckets to its burst (and a part of the
// rule's allowance) at most. What a lease gives beyond its depth is handed back to the allocator's bucket with the next
// renewal. What a lease gives up counts as leased until its holder has confirmed that it holds less,
// or the lease has ended; a holder counts the end from when it asked, the allocator from when it answered, and longer by
// the time for which a former head may think itself head. New buckets are empty.
//
// A new allocator has to know its predecessor's leases. The lives of proxies that may hold leases are registered in the
// control state before anything is granted to them, and a new allocator begins by a change of that register which shuts
// out its predecessor. Until each registered life has presented all of its leases, or another life has been registered at
// its address, or the time of a lease and that for which the predecessor may have thought itself head are over, the
// allocator grants nothing but what holders give up. A Limiter takes nothing from an allocator of an older epoch than the
// newest that it has heard of, so what it has presented to an allocator no former one can add to; and as former ones can
// register nobody, they can grant nothing to a process that has restarted meanwhile.
package quota

import (
	"time"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/fault"
	"nickelline/internal/peer"
	"nickelline/internal/settings"
)

const (
	kindRenew    = peer.QuotaKinds     // a proxy asks the allocator
	kindAnnounce = peer.QuotaKinds + 1 // a new allocator tells a proxy of itself
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
	leaseLeast    = 2 * time.Second
	leaseMost     = 4 * time.Second // longer than a head is replaced in, shorter than the rule's window
	defaultWindow = 5 * time.Second
	usedSlack     = 0.7 // of what the rule bears; the rest is for requests that are sent late and for clocks
	leasedPart    = 0.9 // of the rate that leases may take: the rest fills the allocator's bucket
	surplusSpan   = renewPeriod
)

// PolicyOf takes the policy from the settings' bounds.
func PolicyOf(b *settings.Bounds) Policy {
	window := settings.Seconds(b.QuotaWindowS)
	if window <= 0 {
		window = defaultWindow
	}
	return Policy{
		Window:    window,
		Lease:     min(max(window, leaseLeast), leaseMost),
		Overshoot: b.QuotaOvershoot,
		Allowance: b.QuotaAllowance,
	}
}

// capacity is how many requests may be saved up in all buckets of a tenant together, besides what proxies have still to
// hand back.
func (p *Policy) capacity(l Limit) float64 {
	slack := p.Overshoot*(l.Rate*p.Window.Seconds()+l.Burst) + p.Allowance
	surplus := leasedPart * l.Rate * surplusSpan.Seconds()
	return l.Burst + usedSlack*max(0, slack-surplus)
}

// Holding is what a lease gives: requests a second, and requests that may be saved up.
type Holding struct{ Rate, Depth float64 }

// Entry is one tenant's part of a renewal.
type Entry struct {
	Tenant string
	// Held is the lease that the proxy holds.
	Held Holding
	// Demand is how many requests a second have come lately.
	Demand float64
	// Need is how many requests wait for a grant.
	Need int
	// Returned is what the lease gave beyond its depth since the last renewal.
	Returned float64
}

// Renewal is a proxy's message to the allocator.
type Renewal struct {
	Life, Sequence uint64
	// Epoch is the newest epoch that the proxy has heard of.
	Epoch uint64
	// Complete tells that the entries hold all leases of the proxy.
	Complete bool
	// Leaving tells that the proxy is about to end, and holds nothing any more.
	Leaving bool
	Entries []Entry
}

// Grant is one tenant's part of an answer.
type Grant struct {
	Lease Holding
	// Granted is how many of the waiting requests may go.
	Granted int
	// RetryAfter is when more may be granted, 0 for at once.
	RetryAfter time.Duration
}

type retryAfterKey struct{}

// refused makes the error of a request that has no token.
func refused(kind fault.Kind, tenant string, wait time.Duration) error {
	err := fault.New(kind, "tenant %s has no request left", tenant)
	return merry.Wrap(err, merry.WithValue(retryAfterKey{}, wait), merry.NoCaptureStack())
}

// RetryAfter tells when a request that Take refused may be tried again; 0: not told.
func RetryAfter(err error) time.Duration {
	wait, _ := merry.Value(err, retryAfterKey{}).(time.Duration)
	return wait
}
