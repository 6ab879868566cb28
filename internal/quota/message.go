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
	// Held is the share that the proxy holds.
	Held Share
	// Demand is the smoothed rate of arrivals in requests a second.
	Demand float64
	// Need is the number of requests that wait for a grant.
	Need int
	// Returned is the number of tokens that the lease gave beyond its depth since the last renewal.
	Returned float64
}

// Renewal is a proxy's request to the allocator. The sequence number rises with each renewal of a process.
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
	// Lease is the share that the proxy may use from now on.
	Lease Share
	// Granted is the number of waiting requests that are admitted.
	Granted int
	// RetryAfter is the time until more may be granted; 0 means at once.
	RetryAfter time.Duration
	// Unsettled means that requests were not granted though the tenant may be under its limit: the allocator does not yet
	// know all leases, or the registry has not yet recorded the tenant's reserve as spent.
	Unsettled bool
}

// renewalAnswer is the response of a control node to a Renewal: grants, or the address of the allocator.
type renewalAnswer struct {
	grants      []Grant
	moved       bool           // this node is not the allocator and grants nothing
	allocator   netip.AddrPort // with moved: the address of the allocator, not valid if unknown
	epoch       uint64         // of the allocator that gives the grants
	mustReclaim bool           // the allocator does not know all leases of the proxy
}

// unsettled reports whether any of the grants is unsettled.
func (a *renewalAnswer) unsettled() bool {
	return slices.ContainsFunc(a.grants, func(g Grant) bool { return g.Unsettled })
}
