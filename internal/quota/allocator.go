package quota

import (
	"math"
	"net/netip"
	"time"

	"nickelline/internal/fault"
)

const (
	demandFactor   = 1.4                    // lease for demand: some room for growth
	demandDepth    = time.Second / 2        // depth for so much of the demand,
	leastDepth     = 1.0                    // and so many requests besides
	depthPart      = 0.15                   // of the capacity that leases' depths may take: what lies there others cannot use,
	evenPart       = 0.1                    // of the rate that is leased evenly, whatever the demand,
	evenHolders    = 32                     // while there are no more holders than this
	retryMost      = time.Second            // longest time told until more may be granted
	retryUnsettled = 50 * time.Millisecond  // told while the allocator waits for leases to be presented
	sweepInterval  = 500 * time.Millisecond // between looks for leases that have ended
	silentLeases   = 4                      // a registered life is forgotten after so many lease times without a renewal
	formerLives    = 8                      // of a proxy that are remembered, to know their late messages

	// HeadshipProof is how long after a proof of headship a node may act as allocator.
	HeadshipProof = time.Second
)

// Holder names a proxy: one life of a process at an address.
type Holder struct {
	Address netip.AddrPort
	Life    uint64
}

// Allocator shares out the tenants' limits. It reads no clock and does no I/O, and is not safe for concurrent use.
type Allocator struct {
	policy  Policy
	limits  func(tenant string) Limit
	settled time.Time // from then on all outstanding leases are known
	sweepAt time.Time
	tenants map[string]*account
	holders map[netip.AddrPort]*holder
	unheard int  // holders that have still to present the leases of a former allocator
	silent  bool // some registered lives have left or are gone, or have long not renewed
	// gone tells whether the process at an address is known not to run; nil: it is never known.
	gone func(netip.AddrPort) bool
}

// holder is what the allocator keeps of a proxy.
type holder struct {
	life       uint64
	former     []uint64 // lives that have ended
	sequence   uint64
	leases     map[string]*lease
	registered bool // it may be granted something
	heard      bool // it holds no lease that the allocator does not know
	left       bool // it has told that it holds nothing and ends
	renewedAt  time.Time
}

// lease is what a holder may hold at most, as far as the allocator knows.
type lease struct {
	most   Holding
	demand float64
	ends   time.Time
}

// account is what the allocator keeps of a tenant.
type account struct {
	leased   Holding // sum over all leases
	released Holding // given up since the allocator began, while it does not know all leases
	demand   float64 // sum over all leases
	count    int     // of leases
	bucket   float64
	filledAt time.Time
}

// NewAllocator makes the allocator of a node that has become head. Registered are the lives that may hold leases of its
// predecessors, which can register no others any more. The allocator grants little until these leases have been presented
// or have ended.
func NewAllocator(p Policy, limits func(tenant string) Limit, registered []Holder, now time.Time) *Allocator {
	a := &Allocator{
		policy:  p,
		limits:  limits,
		settled: now.Add(p.Lease + HeadshipProof),
		sweepAt: now.Add(sweepInterval),
		tenants: make(map[string]*account),
		holders: make(map[netip.AddrPort]*holder),
		unheard: len(registered),
	}
	for _, r := range registered {
		h := newHolder(r.Life, now)
		h.registered = true
		a.holders[r.Address] = h
	}
	a.settleIfHeard(now)
	return a
}

func newHolder(life uint64, now time.Time) *holder {
	return &holder{life: life, leases: make(map[string]*lease), renewedAt: now}
}

// Renew takes a proxy's renewal and answers its entries in their order.
func (a *Allocator) Renew(now time.Time, from Holder, r *Renewal) ([]Grant, error) {
	a.sweep(now)
	if a.Admit(from) != Registered {
		return nil, fault.New(fault.Conflict, "life %x of %v is not registered", from.Life, from.Address)
	}
	h := a.holders[from.Address]
	if r.Sequence <= h.sequence {
		return nil, fault.New(fault.Conflict, "renewal %d of %v is out of date", r.Sequence, from.Address)
	}
	h.sequence = r.Sequence
	h.renewedAt = now
	grants := make([]Grant, len(r.Entries))
	for i := range r.Entries {
		grants[i] = a.renewEntry(now, h, &r.Entries[i])
	}
	if r.Complete {
		a.hear(now, h)
	}
	if r.Leaving {
		a.leave(now, h)
	}
	return grants, nil
}

// renewEntry renews one lease and grants waiting requests.
func (a *Allocator) renewEntry(now time.Time, h *holder, e *Entry) Grant {
	limit := a.limits(e.Tenant)
	if limit.Rate <= 0 {
		return Grant{Granted: e.Need}
	}
	t := a.accountOf(now, e.Tenant, limit)
	l := a.present(now, h, t, e)
	l.ends = now.Add(a.policy.Lease + HeadshipProof)
	t.demand += e.Demand - l.demand
	l.demand = e.Demand
	given := a.resize(now, t, l, a.target(t, l, limit), limit)
	t.bucket += max(0, e.Returned)
	granted := min(e.Need, int(t.bucket))
	t.bucket -= float64(granted)
	return Grant{Lease: given, Granted: granted, RetryAfter: a.retryAfter(now, t, limit, e.Need-granted)}
}

// accountOf finds a tenant's account, its bucket filled up to now.
func (a *Allocator) accountOf(now time.Time, tenant string, limit Limit) *account {
	t := a.tenants[tenant]
	if t == nil {
		t = &account{filledAt: now}
		if a.isSettled(now) {
			t.filledAt = a.settled
		}
		a.tenants[tenant] = t
	}
	a.fill(now, t, limit)
	return t
}

func (a *Allocator) isSettled(now time.Time) bool { return !now.Before(a.settled) }

// fill adds to the tenant's bucket what of its rate was not leased since the last time.
func (a *Allocator) fill(now time.Time, t *account, limit Limit) {
	from := t.filledAt
	t.filledAt = now
	if !a.isSettled(now) {
		return
	}
	if from.Before(a.settled) {
		from = a.settled
	}
	free := a.free(now, t, limit)
	t.bucket += max(0, free.Rate) * now.Sub(from).Seconds()
	capacity := a.policy.capacity(limit)
	t.bucket = min(t.bucket, (1-depthPart)*capacity, max(0, capacity-t.leased.Depth))
}

// free is what may be leased anew, as a whole.
func (a *Allocator) free(now time.Time, t *account, limit Limit) Holding {
	if !a.isSettled(now) {
		return t.released
	}
	return Holding{Rate: limit.Rate - t.leased.Rate, Depth: a.policy.capacity(limit) - t.leased.Depth - t.bucket}
}

// present takes what the holder says that it holds: by a lease of this allocator, of which it may have given up a part,
// or by one of a former allocator.
func (a *Allocator) present(now time.Time, h *holder, t *account, e *Entry) *lease {
	l := h.leases[e.Tenant]
	if l == nil {
		l = &lease{most: e.Held}
		h.leases[e.Tenant] = l
		t.leased.Rate += e.Held.Rate
		t.leased.Depth += e.Held.Depth
		t.count++
		return l
	}
	a.change(now, t, l, Holding{Rate: min(l.most.Rate, e.Held.Rate), Depth: min(l.most.Depth, e.Held.Depth)})
	return l
}

// change sets what a lease may hold at most.
func (a *Allocator) change(now time.Time, t *account, l *lease, most Holding) {
	rate, depth := most.Rate-l.most.Rate, most.Depth-l.most.Depth
	t.leased.Rate += rate
	t.leased.Depth += depth
	if !a.isSettled(now) {
		t.released.Rate = max(0, t.released.Rate-rate)
		t.released.Depth = max(0, t.released.Depth-depth)
	}
	l.most = most
}

// target is what a lease should hold for its demand.
func (a *Allocator) target(t *account, l *lease, limit Limit) Holding {
	even := 0.0
	if t.count <= evenHolders {
		even = evenPart * limit.Rate / float64(t.count)
	}
	rate := even + demandFactor*l.demand
	wanted := even*float64(t.count) + demandFactor*t.demand
	depth := leastDepth + demandDepth.Seconds()*l.demand
	wantedDepth := leastDepth*float64(t.count) + demandDepth.Seconds()*t.demand
	capacity := a.policy.capacity(limit)
	return Holding{
		Rate:  rate * min(1, leasedPart*limit.Rate/max(wanted, math.SmallestNonzeroFloat64)),
		Depth: depth * min(1, depthPart*capacity/max(wantedDepth, math.SmallestNonzeroFloat64)),
	}
}

// resize moves a lease towards its target. It grows by what is free; what it is to give up stays counted until the
// holder has confirmed it. It gives what the holder may hold from now on.
func (a *Allocator) resize(now time.Time, t *account, l *lease, target Holding, limit Limit) Holding {
	free := a.free(now, t, limit)
	given := Holding{
		Rate:  min(target.Rate, l.most.Rate+max(0, free.Rate)),
		Depth: min(target.Depth, l.most.Depth+max(0, free.Depth)),
	}
	a.change(now, t, l, Holding{Rate: max(l.most.Rate, given.Rate), Depth: max(l.most.Depth, given.Depth)})
	return given
}

// retryAfter tells when the bucket will hold a request for one that got none.
func (a *Allocator) retryAfter(now time.Time, t *account, limit Limit, short int) time.Duration {
	if short <= 0 {
		return 0
	}
	rate := a.free(now, t, limit).Rate
	if !a.isSettled(now) {
		return retryUnsettled
	}
	if rate <= 0 {
		return retryMost
	}
	wait := (1 - t.bucket + float64(short-1)) / rate
	return min(time.Duration(wait*float64(time.Second)), retryMost)
}

// sweep drops the leases that have ended.
func (a *Allocator) sweep(now time.Time) {
	if now.Before(a.sweepAt) {
		return
	}
	a.sweepAt = now.Add(sweepInterval)
	a.silent = false
	for address, h := range a.holders {
		for tenant, l := range h.leases {
			if !now.Before(l.ends) {
				a.end(now, h, tenant, l)
			}
		}
		if len(h.leases) == 0 && !h.registered {
			delete(a.holders, address)
		}
		a.silent = a.silent || a.isSilent(now, address, h)
	}
}

// drop ends all leases of a holder.
func (a *Allocator) drop(now time.Time, h *holder) {
	for tenant, l := range h.leases {
		a.end(now, h, tenant, l)
	}
}

// end gives back what a lease held.
func (a *Allocator) end(now time.Time, h *holder, tenant string, l *lease) {
	t := a.accountOf(now, tenant, a.limits(tenant))
	a.change(now, t, l, Holding{})
	t.demand -= l.demand
	t.count--
	delete(h.leases, tenant)
	if t.count == 0 {
		t.leased, t.demand = Holding{}, 0 // no rounding errors stay
	}
}
