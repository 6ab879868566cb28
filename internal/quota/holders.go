package quota

import (
	"net/netip"
	"slices"
	"time"
)

// Admission tells whether the allocator may grant something to a life of a proxy.
type Admission uint8

const (
	// Registered lives may be granted something.
	Registered Admission = iota
	// Unregistered lives have to be registered first.
	Unregistered
	// Former lives have ended: what comes from them is late.
	Former
)

// Admit looks a life up.
func (a *Allocator) Admit(from Holder) Admission {
	h := a.holders[from.Address]
	switch {
	case h == nil:
		return Unregistered
	case slices.Contains(h.former, from.Life):
		return Former
	case h.registered && h.life == from.Life:
		return Registered
	}
	return Unregistered
}

// SetRegistered takes over the register after a change that this allocator has made. A life that is new in it holds
// nothing yet, and the former life at its address has ended, and with it its leases.
func (a *Allocator) SetRegistered(now time.Time, members []Holder) {
	for _, h := range a.holders {
		h.registered = false
	}
	for _, m := range members {
		h := a.holders[m.Address]
		if h == nil {
			h = newHolder(m.Life, now)
			h.heard = true
			a.holders[m.Address] = h
		}
		if h.life != m.Life {
			a.begin(now, h, m.Life)
		}
		h.registered = true
	}
}

// begin starts another life of a holder.
func (a *Allocator) begin(now time.Time, h *holder, life uint64) {
	a.drop(now, h)
	h.former = append(h.former, h.life)
	h.former = h.former[max(0, len(h.former)-formerLives):]
	h.life, h.sequence, h.renewedAt, h.left = life, 0, now, false
	a.hear(now, h)
}

// hear notes that the allocator knows all leases of a holder.
func (a *Allocator) hear(now time.Time, h *holder) {
	if h.heard {
		return
	}
	h.heard = true
	a.unheard--
	a.settleIfHeard(now)
}

// settleIfHeard ends the time in which leases may be outstanding that the allocator does not know.
func (a *Allocator) settleIfHeard(now time.Time) {
	if a.unheard == 0 && now.Before(a.settled) {
		a.settled = now
	}
}

// Heard tells whether the allocator knows all leases of a life.
func (a *Allocator) Heard(from Holder) bool {
	h := a.holders[from.Address]
	return h != nil && h.life == from.Life && h.heard
}

// Unheard gives the addresses whose leases the allocator does not know, none once all of those have ended.
func (a *Allocator) Unheard(now time.Time) []netip.AddrPort {
	if a.isSettled(now) {
		return nil
	}
	var addresses []netip.AddrPort
	for address, h := range a.holders {
		if !h.heard {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// leave ends the leases of a life that is about to end. The next allocator need not wait for it.
func (a *Allocator) leave(now time.Time, h *holder) {
	a.drop(now, h)
	a.hear(now, h)
	h.left = true
	a.silent = true
}

// isSilent tells whether a life is registered that holds nothing and has left, is gone since its leases have ended, or has long
// not renewed: an allocator that begins waits for each life that is registered. One that runs stays registered for longer, as it
// would have to be registered again before it is granted anything.
func (a *Allocator) isSilent(now time.Time, address netip.AddrPort, h *holder) bool {
	if !h.registered || len(h.leases) > 0 {
		return false
	}
	silence := now.Sub(h.renewedAt)
	isGone := silence > a.policy.Lease+HeadshipProof && a.gone != nil && a.gone(address)
	return h.left || (a.isSettled(now) && (isGone || silence > silentLeases*a.policy.Lease))
}

// HasSilent tells whether there are lives that TakeSilent would give.
func (a *Allocator) HasSilent() bool { return a.silent }

// TakeSilent gives the registered lives that hold nothing and have left or are gone, or have long not renewed. They are not
// registered any more for this allocator, so that their removal can be proposed.
func (a *Allocator) TakeSilent(now time.Time) []Holder {
	a.silent = false
	var silent []Holder
	for address, h := range a.holders {
		if a.isSilent(now, address, h) {
			h.registered = false
			silent = append(silent, Holder{Address: address, Life: h.life})
		}
	}
	return silent
}
