package batchapi

import (
	"net/netip"
	"sync"
	"time"

	"nickelline/internal/batch/batchcall"
	"nickelline/internal/view"
)

// failureMemory is how long a store that did not answer a read is asked after all others.
const failureMemory = 2 * time.Second

// redirectedHead is a head that a store named.
type redirectedHead struct {
	epoch uint64
	head  netip.AddrPort
}

// headCache remembers what calls have shown of stores: heads of newer views than the placement known here, and failures.
type headCache struct {
	mutex     sync.Mutex
	redirects map[uint32]redirectedHead
	failedAt  map[netip.AddrPort]time.Time
}

func newHeadCache() *headCache {
	return &headCache{redirects: map[uint32]redirectedHead{}, failedAt: map[netip.AddrPort]time.Time{}}
}

// head returns the head of a partition by the newest view that is known.
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

// recordRedirect takes a redirect if it is newer than what is known.
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

// failedRecently reports whether a store is better not asked first.
func (h *headCache) failedRecently(address netip.AddrPort) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	at, ok := h.failedAt[address]
	if ok && time.Since(at) > failureMemory {
		delete(h.failedAt, address)
		return false
	}
	return ok
}
