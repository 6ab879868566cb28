package quota

import (
	"net/netip"
	"slices"
	"time"
)

// Leaseholder identifies a proxy: one process at an address.
type Leaseholder struct {
	Address    netip.AddrPort
	Generation uint64
}

// leaseholderRecord is the allocator's state of a proxy.
type leaseholderRecord struct {
	generation uint64
	former     []uint64                // generations of processes at this address that have ended
	sequence   uint64                  // of the last renewal
	leases     map[string]*leaseRecord // by tenant
	registered bool                    // the process may be granted something
	reclaimed  bool                    // the allocator knows all leases of the process
	left       bool                    // the process has given up its leases and is about to exit
	renewedAt  time.Time
}

func newLeaseholderRecord(generation uint64, now time.Time) *leaseholderRecord {
	return &leaseholderRecord{generation: generation, leases: make(map[string]*leaseRecord), renewedAt: now}
}

// leaseRecord is the allocator's state of a lease: the share of one tenant's limit that a leaseholder may have.
type leaseRecord struct {
	outstanding Share // upper bound of the share that the leaseholder uses
	demand      float64
	expiresAt   time.Time
}

// RegistrationStatus says whether the allocator may grant something to a process.
type RegistrationStatus uint8

const (
	// Registered processes may be granted something.
	Registered RegistrationStatus = iota
	// Unregistered processes have to be registered first.
	Unregistered
	// Former processes have ended: their messages are late.
	Former
)

// StatusOf returns the registration status of a process.
func (a *Allocator) StatusOf(from Leaseholder) RegistrationStatus {
	leaseholder := a.leaseholders[from.Address]
	switch {
	case leaseholder == nil:
		return Unregistered
	case slices.Contains(leaseholder.former, from.Generation):
		return Former
	case leaseholder.registered && leaseholder.generation == from.Generation:
		return Registered
	}
	return Unregistered
}

// SetRegistered records the leaseholders of the registry after a change that this allocator has made. A newly registered
// process has no leases yet; the former process at its address has ended, so its leases are ended too.
func (a *Allocator) SetRegistered(now time.Time, members []Leaseholder) {
	for _, leaseholder := range a.leaseholders {
		leaseholder.registered = false
	}
	for _, m := range members {
		leaseholder := a.leaseholders[m.Address]
		if leaseholder == nil {
			leaseholder = newLeaseholderRecord(m.Generation, now)
			leaseholder.reclaimed = true
			a.leaseholders[m.Address] = leaseholder
		}
		if leaseholder.generation != m.Generation {
			a.replaceProcess(now, leaseholder, m.Generation)
		}
		leaseholder.registered = true
	}
}

// replaceProcess records that another process runs at the address of a leaseholder.
func (a *Allocator) replaceProcess(now time.Time, leaseholder *leaseholderRecord, generation uint64) {
	a.endLeases(now, leaseholder)
	leaseholder.former = append(leaseholder.former, leaseholder.generation)
	leaseholder.former = leaseholder.former[max(0, len(leaseholder.former)-maxFormerProcesses):]
	leaseholder.generation = generation
	leaseholder.sequence = 0
	leaseholder.renewedAt = now
	leaseholder.left = false
	a.markReclaimed(now, leaseholder)
}

// markReclaimed records that the allocator knows all leases of a leaseholder.
func (a *Allocator) markReclaimed(now time.Time, leaseholder *leaseholderRecord) {
	if leaseholder.reclaimed {
		return
	}
	leaseholder.reclaimed = true
	a.unreclaimed--
	a.endGraceIfReclaimed(now)
}

// endGraceIfReclaimed ends the grace period once all leaseholders have reclaimed their leases.
func (a *Allocator) endGraceIfReclaimed(now time.Time) {
	if a.unreclaimed == 0 && now.Before(a.graceEndsAt) {
		a.graceEndsAt = now
	}
}

// HasReclaimed reports whether the allocator knows all leases of a process.
func (a *Allocator) HasReclaimed(from Leaseholder) bool {
	leaseholder := a.leaseholders[from.Address]
	return leaseholder != nil && leaseholder.generation == from.Generation && leaseholder.reclaimed
}

// Unreclaimed returns the addresses of the leaseholders that have not yet reclaimed their leases, and none after the grace
// period.
func (a *Allocator) Unreclaimed(now time.Time) []netip.AddrPort {
	if a.graceEnded(now) {
		return nil
	}
	var addresses []netip.AddrPort
	for address, leaseholder := range a.leaseholders {
		if !leaseholder.reclaimed {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// handleLeaving ends the leases of a process that is about to exit and marks it as removable, so that the next allocator
// need not wait for it.
func (a *Allocator) handleLeaving(now time.Time, leaseholder *leaseholderRecord) {
	a.endLeases(now, leaseholder)
	a.markReclaimed(now, leaseholder)
	leaseholder.left = true
	a.removable = true
}

// isRemovable reports whether a registered leaseholder may be removed from the registry, so that a new allocator does not
// wait for it. The leaseholder must have no leases. In addition it must have left or, after the grace period, be known to be
// down once its leases must have expired, or have sent no renewal for unresponsiveLeasePeriods. A running process stays
// registered for longer than its leases last, since it would have to be registered again before it is granted anything.
func (a *Allocator) isRemovable(now time.Time, address netip.AddrPort, leaseholder *leaseholderRecord) bool {
	if !leaseholder.registered || len(leaseholder.leases) > 0 {
		return false
	}
	sinceRenewal := now.Sub(leaseholder.renewedAt)
	down := sinceRenewal > a.policy.Lease+HeadProofLifetime && a.isDown != nil && a.isDown(address)
	unresponsive := sinceRenewal > unresponsiveLeasePeriods*a.policy.Lease
	return leaseholder.left || a.graceEnded(now) && (down || unresponsive)
}

// HasRemovable reports whether TakeRemovable may have leaseholders to return.
func (a *Allocator) HasRemovable() bool { return a.removable }

// TakeRemovable returns the registered leaseholders that may be removed from the registry (see isRemovable). This
// allocator treats them as unregistered from now on, so that the caller can propose their removal.
func (a *Allocator) TakeRemovable(now time.Time) []Leaseholder {
	a.removable = false
	var removable []Leaseholder
	for address, leaseholder := range a.leaseholders {
		if a.isRemovable(now, address, leaseholder) {
			leaseholder.registered = false
			removable = append(removable, Leaseholder{Address: address, Generation: leaseholder.generation})
		}
	}
	return removable
}

// graceEnded reports whether the grace period has ended: all outstanding leases are known.
func (a *Allocator) graceEnded(now time.Time) bool { return !now.Before(a.graceEndsAt) }

// sweep ends expired leases and reviews the reserves, at most once in a sweepInterval.
func (a *Allocator) sweep(now time.Time) {
	if now.Before(a.sweepAt) {
		return
	}
	a.sweepAt = now.Add(sweepInterval)
	a.reviewReserves(now)
	a.removable = false
	for address, leaseholder := range a.leaseholders {
		for tenant, lease := range leaseholder.leases {
			if !now.Before(lease.expiresAt) {
				a.endLease(now, leaseholder, tenant, lease)
			}
		}
		if len(leaseholder.leases) == 0 && !leaseholder.registered {
			delete(a.leaseholders, address)
		}
		a.removable = a.removable || a.isRemovable(now, address, leaseholder)
	}
}

// endLeases ends all leases of a leaseholder.
func (a *Allocator) endLeases(now time.Time, leaseholder *leaseholderRecord) {
	for tenant, lease := range leaseholder.leases {
		a.endLease(now, leaseholder, tenant, lease)
	}
}
