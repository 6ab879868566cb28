package quota

import (
	"slices"
	"time"
)

const (
	// reserveFraction of a tenant's capacity is its reserve. A larger reserve admits more requests after a loss of the
	// allocator, but is needed more often in normal operation, each time at the cost of a change of the registry.
	reserveFraction = 0.5
	// Fractions of the capacity. A reserve is recorded as spent when the bucket falls below reserveSpendLevel, which is above
	// reserveFraction so that requests need not wait for the record. It is kept again once the bucket has reached
	// reserveKeepLevel.
	reserveSpendLevel = 0.57
	reserveKeepLevel  = 0.72
	// reserveKeepDelay is the least time between spending a reserve and keeping it again.
	reserveKeepDelay = 2 * time.Second
	// reserveRetryAfter is the Grant.RetryAfter of a request that waits until a reserve is recorded as spent.
	reserveRetryAfter = 20 * time.Millisecond
	// maxReserveChanges bounds the reserves that one change of the registry keeps, and those that it spends.
	maxReserveChanges = 256
)

// reserve returns how many requests of a tenant an allocator keeps for the next allocator.
func (p *Policy) reserve(l Limit) float64 { return reserveFraction * p.capacity(l) }

// reserveState is the allocator's state of the reserves. The registry lists the reserves that are recorded as kept: the next
// allocator begins with them, so this allocator grants a reserve only once it is recorded as spent.
type reserveState struct {
	inherited map[string]bool      // kept by the former allocator, for tenants that have no account yet
	kept      map[string]bool      // recorded as kept, or about to be
	spentAt   map[string]time.Time // when recording a reserve as spent was last requested
	spend     map[string]bool      // to be recorded as spent
	keep      map[string]bool      // to be recorded as kept
}

func newReserveState(inherited []string) reserveState {
	state := reserveState{
		inherited: make(map[string]bool, len(inherited)),
		kept:      make(map[string]bool),
		spentAt:   make(map[string]time.Time),
		spend:     make(map[string]bool),
		keep:      make(map[string]bool),
	}
	for _, tenant := range inherited {
		state.inherited[tenant] = true
	}
	return state
}

// initialTokens returns the tokens that the bucket of a tenant begins with: the reserve if the former allocator kept it,
// otherwise none. It returns the reserve of a tenant only once.
func (a *Allocator) initialTokens(tenant string, limit Limit) float64 {
	if !a.reserves.inherited[tenant] {
		return 0
	}
	delete(a.reserves.inherited, tenant)
	return a.policy.reserve(limit)
}

// grantable returns how many requests the tenant's bucket may grant now.
func (a *Allocator) grantable(account *tenantAccount, tenant string, limit Limit) int {
	if !a.reserves.kept[tenant] {
		return int(account.tokens)
	}
	return int(max(0, account.tokens-a.policy.reserve(limit)))
}

// waitsForReserve reports whether a request that was not granted could be granted from the reserve of its tenant. If so, it
// requests that the reserve be recorded as spent.
func (a *Allocator) waitsForReserve(now time.Time, account *tenantAccount, tenant string) bool {
	if !a.reserves.kept[tenant] || account.tokens < 1 {
		return false
	}
	a.spendReserve(now, tenant)
	return true
}

// spendReserve requests that the reserve of a tenant be recorded as spent.
func (a *Allocator) spendReserve(now time.Time, tenant string) {
	a.reserves.spend[tenant] = true
	a.reserves.spentAt[tenant] = now
}

// reviewReserves requests that reserves be recorded as spent if they will soon be needed, and as kept if their buckets are
// full enough again. During the grace period it requests neither.
func (a *Allocator) reviewReserves(now time.Time) {
	clear(a.reserves.keep)
	if !a.graceEnded(now) {
		return
	}
	for tenant := range a.reserves.inherited {
		a.accountOf(now, tenant, a.limits(tenant)) // creates the account, so that the reserve is kept again
	}
	for tenant, account := range a.tenants {
		limit := a.limits(tenant)
		if limit.Rate <= 0 {
			continue
		}
		a.fill(now, account, limit)
		level := account.tokens / a.policy.capacity(limit)
		switch kept := a.reserves.kept[tenant]; {
		case kept && level < reserveSpendLevel:
			a.spendReserve(now, tenant)
		case !kept && level >= reserveKeepLevel && now.Sub(a.reserves.spentAt[tenant]) >= reserveKeepDelay:
			a.reserves.keep[tenant] = true
		}
	}
}

// HasReserveChanges reports whether TakeReserveChanges has changes to return.
func (a *Allocator) HasReserveChanges() bool { return len(a.reserves.spend)+len(a.reserves.keep) > 0 }

// TakeReserveChanges returns the tenants whose reserves are to be recorded as kept and as spent, which the caller proposes
// as a change of the registry. Reserves to be kept are not granted from now on, as the change may be committed even if it
// seems to fail. Reserves to be spent are granted after SetReserves.
func (a *Allocator) TakeReserveChanges() (keep, spend []string) {
	for tenant := range a.reserves.spend {
		if len(spend) < maxReserveChanges {
			spend = append(spend, tenant)
			delete(a.reserves.spend, tenant)
		}
	}
	for tenant := range a.reserves.keep {
		if len(keep) < maxReserveChanges && !slices.Contains(spend, tenant) {
			keep = append(keep, tenant)
			delete(a.reserves.keep, tenant)
			a.reserves.kept[tenant] = true
		}
	}
	slices.Sort(keep)
	slices.Sort(spend)
	return keep, spend
}

// SetReserves records the reserves that the registry lists as kept after a change that this allocator has made.
func (a *Allocator) SetReserves(kept []string) {
	clear(a.reserves.kept)
	for _, tenant := range kept {
		a.reserves.kept[tenant] = true
	}
}

// inheritedReserves holds the reserves that an allocator takes over, and the epoch of the allocator and the revision of the
// registry with which it proposed its first change, which records all reserves as spent.
type inheritedReserves struct {
	epoch, revision uint64
	reserves        []string
}

// inheritedReservesOf returns the reserves that the allocator of an epoch takes over if it proposes its first change on the
// current state of the registry. If an earlier attempt of the same allocator seemed to fail but was committed, the registry
// lists no reserves any more, and the allocator takes over those of the earlier attempt: no other allocator makes changes
// in its epoch.
func inheritedReservesOf(earlier *inheritedReserves, epoch uint64, current RegistryState) *inheritedReserves {
	if earlier != nil && earlier.epoch == epoch && current.Epoch == epoch && current.Revision == earlier.revision+1 {
		return &inheritedReserves{epoch: epoch, revision: current.Revision, reserves: earlier.reserves}
	}
	return &inheritedReserves{epoch: epoch, revision: current.Revision, reserves: current.Reserves}
}
