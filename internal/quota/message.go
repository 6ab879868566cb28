package quota

import (
	"net/netip"
	"time"

	"nickelline/internal/peer"
)

const (
	kindRenew    = peer.QuotaKinds     // a proxy asks the allocator
	kindAnnounce = peer.QuotaKinds + 1 // a new allocator tells a proxy of itself
)

// Entry is one tenant's part of a renewal.
type Entry struct {
	Tenant string
	// Held is the lease that the proxy holds.
	Held Share
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
	Lease Share
	// Granted is how many of the waiting requests may go.
	Granted int
	// RetryAfter is when more may be granted, 0 for at once.
	RetryAfter time.Duration
}

// answer is what a control node says to a renewal: grants, or where the allocator is.
type answer struct {
	grants      []Grant
	moved       bool
	allocator   netip.AddrPort
	epoch       uint64 // of the allocator that gives the grants
	mustReclaim bool   // the allocator does not know all leases of the proxy
}
