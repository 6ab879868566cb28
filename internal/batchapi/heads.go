package batchapi

import (
	"net/netip"
	"sync"
	"time"

	"nickelline/internal/batch/batchcall"
	"nickelline/internal/view"
)

// failureMemory is how long a store that did not answer a read is asked last.
const failureMemory = 2 * time.Second

// redirected is a head that a store named.
type redirected struct {
	epoch uint64
	head  netip.AddrPort
}

// heads remembers what calls told of stores: heads that are newer than the placement known here, and failures.
type heads struct {
	mutex  sync.Mutex
	known  map[uint32]redirected
	failed map[netip.AddrPort]time.Time
}

// head gives the head of a partition by its newest view that is known.
func (h *heads) head(v view.View) netip.AddrPort {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if told, ok := h.known[v.Chain]; ok && told.epoch > v.Epoch {
		return told.head
	}
	delete(h.known, v.Chain)
	if member, ok := v.Head(); ok {
		return member.Address
	}
	return netip.AddrPort{}
}

// learn takes over a redirect if it is newer than what is known.
func (h *heads) learn(partition uint32, r *batchcall.Redirect) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if r.Head.IsValid() && r.Epoch > h.known[partition].epoch {
		h.known[partition] = redirected{epoch: r.Epoch, head: r.Head}
	}
}

// fail notes that a store did not answer.
func (h *heads) fail(address netip.AddrPort) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failed[address] = time.Now()
}

// failedLately tells whether a store is better not asked first.
func (h *heads) failedLately(address netip.AddrPort) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	at, ok := h.failed[address]
	if ok && time.Since(at) > failureMemory {
		delete(h.failed, address)
		return false
	}
	return ok
}
