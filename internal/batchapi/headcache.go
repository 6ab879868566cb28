package batchapi

import (
	"net/netip"
	"sync"
	"time"

	"nickelline/internal/batch/batchcall"
	"nickelline/internal/view"
)

// failureTTL is how long a store that failed to answer a read is tried only after the other replicas.
const failureTTL = 2 * time.Second

// redirectedHead is a head that a store named in a redirect.
type redirectedHead struct {
	epoch uint64
	head  netip.AddrPort
}

// headCache holds what earlier calls showed: the heads of views that are newer than the locally known one, and failures of
// stores. It is safe for concurrent use.
type headCache struct {
	mutex     sync.Mutex
	redirects map[uint32]redirectedHead
	failedAt  map[netip.AddrPort]time.Time
}

func newHeadCache() *headCache {
	return &headCache{redirects: map[uint32]redirectedHead{}, failedAt: map[netip.AddrPort]time.Time{}}
}

// head returns the head of a partition in the newest view that is known. The address is invalid if that view has no head.
func (h *headCache) head(v view.View) netip.AddrPort {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if redirected, ok := h.redirects[v.Chain]; ok && redirected.epoch > v.Epoch {
		return redirected.head
	}
	delete(h.redirects, v.Chain)
	if member, ok := v.Head(); ok {
		return member.Address
	}
	return netip.AddrPort{}
}

// recordRedirect stores a redirect if its epoch is newer than that of the last one.
func (h *headCache) recordRedirect(partition uint32, r *batchcall.Redirect) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if r.Head.IsValid() && r.Epoch > h.redirects[partition].epoch {
		h.redirects[partition] = redirectedHead{epoch: r.Epoch, head: r.Head}
	}
}

// recordFailure records that a store did not answer.
func (h *headCache) recordFailure(address netip.AddrPort) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failedAt[address] = time.Now()
}

// failedRecently reports whether a store failed to answer within the last failureTTL.
func (h *headCache) failedRecently(address netip.AddrPort) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	at, ok := h.failedAt[address]
	if ok && time.Since(at) > failureTTL {
		delete(h.failedAt, address)
		return false
	}
	return ok
}
