package quota

import (
	"slices"
	"time"
)

const (
	// reserveFraction of a tenant's capacity is its reserve. A larger one serves more after a loss of the allocator, and is
	// touched more often, each time at the cost of a change of the registry.
	reserveFraction = 0.5
	// Fractions of the capacity: a reserve is recorded as spent when the bucket falls below the first, before requests wait
	// for that, and as kept again when it has risen above the second.
	reserveSpendLevel = 0.57
	reserveKeepLevel  = 0.72
	// reserveKeepDelay passes at least between the spending of a reserve and its being kept again.
	reserveKeepDelay = 2 * time.Second
	// reserveRetryAfter is the Grant.RetryAfter of a request that waits until a reserve is recorded as spent.
	reserveRetryAfter = 20 * time.Millisecond
	// maxReserveChanges bounds the tenants of one change of the registry.
	maxReserveChanges = 256
)

// reserve returns how many requests of a limit an allocator keeps for the next one.
func (p *Policy) reserve(l Limit) float64 { return reserveFraction * p.capacity(l) }

// reserveBook is what an allocator knows of the reserves. The registry has those that are recorded as kept: the next
// allocator begins with them, so this one grants them only once they are recorded as spent.
type reserveBook struct {
	inherited map[string]bool      // of the former allocator, for tenants that have no account yet
	kept      map[string]bool      // recorded as kept, or about to be
	spentAt   map[string]time.Time // when a reserve was last asked to be recorded as spent
	spend     map[string]bool      // to be recorded as spent
	keep      map[string]bool      // to be recorded as kept
}

func newReserveBook(inherited []string) reserveBook {
	book := reserveBook{
		inherited: make(map[string]bool, len(inherited)),
		kept:      make(map[string]bool),
		spentAt:   make(map[string]time.Time),
		spend:     make(map[string]bool),
		keep:      make(map[string]bool),
	}
	for _, tenant := range inherited {
		book.inherited[tenant] = true
	}
	return book
}

// initialTokens returns what the bucket of a tenant begins with: the reserve that the former allocator has kept.
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

// waitsForReserve reports whether a request that was not granted waits for the reserve of its tenant, which is then
// recorded as spent as soon as possible.
func (a *Allocator) waitsForReserve(now time.Time, account *tenantAccount, tenant string) bool {
	if !a.reserves.kept[tenant] || account.tokens < 1 {
		return false
	}
	a.spendReserve(now, tenant)
	return true
}

func (a *Allocator) spendReserve(now time.Time, tenant string) {
	a.reserves.spend[tenant] = true
	a.reserves.spentAt[tenant] = now
}

// reviewReserves looks for reserves that will soon be needed, and for those that can be kept again.
func (a *Allocator) reviewReserves(now time.Time) {
	clear(a.reserves.keep)
	if !a.graceEnded(now) {
		return
	}
	for tenant := range a.reserves.inherited {
		a.accountOf(now, tenant, a.limits(tenant)) // so that it is kept again
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

// HasReserveChanges reports whether TakeReserveChanges has something to return.
func (a *Allocator) HasReserveChanges() bool { return len(a.reserves.spend)+len(a.reserves.keep) > 0 }

// TakeReserveChanges returns the tenants whose reserves are to be recorded as kept and as spent, which the caller proposes
// as a change of the registry. What is to be kept is granted no more from now on, as the change may be committed even if
// it seems to fail. What is to be spent is granted after SetReserves.
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

// SetReserves records which reserves the registry has as kept after a change that this allocator has made.
func (a *Allocator) SetReserves(kept []string) {
	clear(a.reserves.kept)
	for _, tenant := range kept {
		a.reserves.kept[tenant] = true
	}
}

// inheritance is what the first change of an allocator, which records all reserves as spent, was proposed on.
type inheritance struct {
	epoch, revision uint64
	reserves        []string
}

// inheritanceOf returns what an allocator inherits that proposes its first change on a state. If the state is that after an
// earlier try of the same allocator, of which it did not learn that it was committed, it inherits what it did then: nobody
// else makes changes of its epoch.
func inheritanceOf(earlier *inheritance, epoch uint64, current RegistryState) *inheritance {
	if earlier != nil && earlier.epoch == epoch && current.Epoch == epoch && current.Revision == earlier.revision+1 {
		return &inheritance{epoch: epoch, revision: current.Revision, reserves: earlier.reserves}
	}
	return &inheritance{epoch: epoch, revision: current.Revision, reserves: current.Reserves}
}
