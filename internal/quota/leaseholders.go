package quota

import (
	"net/netip"
	"slices"
	"time"
)

// RegistrationStatus tells whether the allocator may grant something to a life of a proxy.
type RegistrationStatus uint8

const (
	// Registered lives may be granted something.
	Registered RegistrationStatus = iota
	// Unregistered lives have to be registered first.
	Unregistered
	// Former lives have ended: what comes from them is late.
	Former
)

// StatusOf looks a life up.
func (a *Allocator) StatusOf(from Leaseholder) RegistrationStatus {
	h := a.leaseholders[from.Address]
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
func (a *Allocator) SetRegistered(now time.Time, members []Leaseholder) {
	for _, h := range a.leaseholders {
		h.registered = false
	}
	for _, m := range members {
		h := a.leaseholders[m.Address]
		if h == nil {
			h = newLeaseholder(m.Life, now)
			h.reclaimed = true
			a.leaseholders[m.Address] = h
		}
		if h.life != m.Life {
			a.replaceProcess(now, h, m.Life)
		}
		h.registered = true
	}
}

// replaceProcess starts another life of a holder.
func (a *Allocator) replaceProcess(now time.Time, h *leaseholder, life uint64) {
	a.endLeases(now, h)
	h.former = append(h.former, h.life)
	h.former = h.former[max(0, len(h.former)-formerLives):]
	h.life, h.sequence, h.renewedAt, h.left = life, 0, now, false
	a.markReclaimed(now, h)
}

// markReclaimed notes that the allocator knows all leases of a holder.
func (a *Allocator) markReclaimed(now time.Time, h *leaseholder) {
	if h.reclaimed {
		return
	}
	h.reclaimed = true
	a.unreclaimed--
	a.endGraceIfReclaimed(now)
}

// endGraceIfReclaimed ends the time in which leases may be outstanding that the allocator does not know.
func (a *Allocator) endGraceIfReclaimed(now time.Time) {
	if a.unreclaimed == 0 && now.Before(a.graceEndsAt) {
		a.graceEndsAt = now
	}
}

// HasReclaimed tells whether the allocator knows all leases of a life.
func (a *Allocator) HasReclaimed(from Leaseholder) bool {
	h := a.leaseholders[from.Address]
	return h != nil && h.life == from.Life && h.reclaimed
}

// Unreclaimed gives the addresses whose leases the allocator does not know, none once all of those have ended.
func (a *Allocator) Unreclaimed(now time.Time) []netip.AddrPort {
	if a.graceEnded(now) {
		return nil
	}
	var addresses []netip.AddrPort
	for address, h := range a.leaseholders {
		if !h.reclaimed {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// endByLeaving ends the leases of a life that is about to end. The next allocator need not wait for it.
func (a *Allocator) endByLeaving(now time.Time, h *leaseholder) {
	a.endLeases(now, h)
	a.markReclaimed(now, h)
	h.left = true
	a.removable = true
}

// isRemovable tells whether a life is registered that holds nothing and has left, is gone since its leases have ended, or has long
// not renewed: an allocator that begins waits for each life that is registered. One that runs stays registered for longer, as it
// would have to be registered again before it is granted anything.
func (a *Allocator) isRemovable(now time.Time, address netip.AddrPort, h *leaseholder) bool {
	if !h.registered || len(h.leases) > 0 {
		return false
	}
	silence := now.Sub(h.renewedAt)
	isGone := silence > a.policy.Lease+HeadProofLifetime && a.isDown != nil && a.isDown(address)
	return h.left || (a.graceEnded(now) && (isGone || silence > unresponsiveLeases*a.policy.Lease))
}

// HasRemovable tells whether there are lives that TakeSilent would give.
func (a *Allocator) HasRemovable() bool { return a.removable }

// TakeRemovable gives the registered lives that hold nothing and have left or are gone, or have long not renewed. They are not
// registered any more for this allocator, so that their removal can be proposed.
func (a *Allocator) TakeRemovable(now time.Time) []Leaseholder {
	a.removable = false
	var silent []Leaseholder
	for address, h := range a.leaseholders {
		if a.isRemovable(now, address, h) {
			h.registered = false
			silent = append(silent, Leaseholder{Address: address, Life: h.life})
		}
	}
	return silent
}

// Leaseholder names a proxy: one life of a process at an address.
type Leaseholder struct {
	Address netip.AddrPort
	Life    uint64
}

// leaseholder is what the allocator keeps of a proxy.
type leaseholder struct {
	life       uint64
	former     []uint64 // lives that have ended
	sequence   uint64
	leases     map[string]*lease
	registered bool // it may be granted something
	reclaimed  bool // it holds no lease that the allocator does not know
	left       bool // it has told that it holds nothing and ends
	renewedAt  time.Time
}

// lease is what a holder may hold at most, as far as the allocator knows.
type lease struct {
	outstanding Share
	demand      float64
	expiresAt   time.Time
}

func newLeaseholder(life uint64, now time.Time) *leaseholder {
	return &leaseholder{life: life, leases: make(map[string]*lease), renewedAt: now}
}

func (a *Allocator) graceEnded(now time.Time) bool { return !now.Before(a.graceEndsAt) }

// sweep drops the leases that have ended.
func (a *Allocator) sweep(now time.Time) {
	if now.Before(a.sweepAt) {
		return
	}
	a.sweepAt = now.Add(sweepInterval)
	a.removable = false
	for address, h := range a.leaseholders {
		for tenant, l := range h.leases {
			if !now.Before(l.expiresAt) {
				a.endLease(now, h, tenant, l)
			}
		}
		if len(h.leases) == 0 && !h.registered {
			delete(a.leaseholders, address)
		}
		a.removable = a.removable || a.isRemovable(now, address, h)
	}
}

// endLeases ends all leases of a holder.
func (a *Allocator) endLeases(now time.Time, h *leaseholder) {
	for tenant, l := range h.leases {
		a.endLease(now, h, tenant, l)
	}
}
