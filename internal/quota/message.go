package quota

import (
	"net/netip"
	"slices"
	"time"

	"nickelline/internal/peer"
)

const (
	kindRenew    = peer.QuotaKinds     // a proxy renews its leases
	kindAnnounce = peer.QuotaKinds + 1 // a new allocator announces itself to a proxy
)

// Entry is a proxy's renewal of the lease of one tenant.
type Entry struct {
	Tenant string
	// Held is the share that the proxy has.
	Held Share
	// Demand is the smoothed rate of arrivals, requests a second.
	Demand float64
	// Need is how many requests wait for a grant.
	Need int
	// Returned is what the lease gave beyond its depth since the last renewal.
	Returned float64
}

// Renewal is a proxy's request to the allocator.
type Renewal struct {
	Generation, Sequence uint64
	// Epoch is the newest epoch of an allocator that the proxy knows.
	Epoch uint64
	// Complete means that the entries name all leases of the proxy.
	Complete bool
	// Leaving means that the proxy is about to exit and has given up all leases.
	Leaving bool
	Entries []Entry
}

// Grant is the answer to one Entry.
type Grant struct {
	// Lease is the share from now on.
	Lease Share
	// Granted is how many of the waiting requests are admitted.
	Granted int
	// RetryAfter is when more may be granted; 0: at once.
	RetryAfter time.Duration
	// Unsettled means that requests were not granted though the tenant may be under its limit: the allocator does not know
	// all leases yet, or has still to record that it spends a reserve.
	Unsettled bool
}

// renewalAnswer is the response of a control node to a Renewal: grants, or the address of the allocator.
type renewalAnswer struct {
	grants      []Grant
	moved       bool           // this node is not the allocator and grants nothing
	allocator   netip.AddrPort // with moved: the allocator as far as known
	epoch       uint64         // of the allocator that gives the grants
	mustReclaim bool           // the allocator does not know all leases of the proxy
}

// unsettled reports whether any of the grants is unsettled.
func (a *renewalAnswer) unsettled() bool {
	return slices.ContainsFunc(a.grants, func(g Grant) bool { return g.Unsettled })
}
