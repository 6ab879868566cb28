package quota

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/configuration"
	"nickelline/internal/fault"
	"nickelline/internal/pause"
	"nickelline/internal/peer"
)

const (
	renewPeriod    = 500 * time.Millisecond
	callTimeout    = 250 * time.Millisecond
	callPause      = 4 * time.Millisecond   // between calls for waiting requests: more of them share one
	failurePause   = 150 * time.Millisecond // before the next call after one that failed
	unreachableFor = 200 * time.Millisecond // after a failed call requests do not wait for a grant
	defaultWait    = 60 * time.Millisecond  // of a request for a token, at most
	leaveTries     = 3
)

// Caller sends a message to another node and waits for the answer.
type Caller interface {
	Call(ctx context.Context, to netip.AddrPort, m peer.Message) (peer.Message, error)
}

// Limiter gives out a proxy's budgets. It is safe for concurrent use.
type Limiter struct {
	caller   Caller
	controls func() []netip.AddrPort
	log      *zap.Logger
	wake     chan struct{}

	mutex     sync.Mutex
	budgets   *budgets
	waiting   map[string][]*waiter
	failedAt  time.Time
	allocator netip.AddrPort
	epoch     uint64 // the newest that is known
	unheard   bool   // the allocator may not know all leases

	// Only the goroutine of Run uses these.
	life     uint64
	sequence uint64
}

// NewLimiter makes the limiter of a proxy. Controls gives the internal addresses of the live control nodes.
func NewLimiter(p Policy, caller Caller, controls func() []netip.AddrPort, log *zap.Logger) *Limiter {
	return &Limiter{
		caller:   caller,
		controls: controls,
		log:      log,
		life:     rand.Uint64(),
		wake:     make(chan struct{}, 1),
		budgets:  newBudgets(p),
		waiting:  make(map[string][]*waiter),
		unheard:  true,
	}
}

// Receive has the limiter hear of new allocators. It has to be called before the transport is started.
func (l *Limiter) Receive(t *peer.Transport) {
	t.HandleDatagram(kindAnnounce, func(from netip.AddrPort, m peer.Message) {
		epoch, err := decodeAnnouncement(m.Body)
		if err != nil {
			l.log.Debug("bad quota announcement", zap.Error(err))
			return
		}
		l.follow(from, epoch)
	})
}

// follow has the next renewal go to a new allocator, soon and with all leases.
func (l *Limiter) follow(allocator netip.AddrPort, epoch uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if epoch < l.epoch {
		return
	}
	l.epoch = epoch
	l.allocator = allocator
	l.unheard = true
	l.signal()
}

// signal wakes the goroutine of Run.
func (l *Limiter) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// GiveBack returns the token of an admitted request that was certainly not sent to any backend.
func (l *Limiter) GiveBack(tenant *configuration.Tenant) {
	if tenant == nil || !tenant.Limited() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.budgets.giveBack(time.Now(), tenant.Name)
}

// Run renews the leases, and asks for grants when requests wait, until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	l.signal()
	timer := time.NewTimer(renewPeriod)
	defer timer.Stop()
	for {
		all := false
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-timer.C:
			all = true
			timer.Reset(renewPeriod)
		}
		if !l.renew(ctx, all) {
			timer.Reset(failurePause)
		}
		if !pause.For(ctx, callPause) {
			return
		}
	}
}

// Leave gives up all leases and tells the allocator so, as the process is about to end: an allocator that begins later would wait
// for it until its leases have ended. It must be called after Run has returned, and after the last request was sent.
func (l *Limiter) Leave(ctx context.Context) {
	if l.sequence == 0 {
		return // this life has never been registered
	}
	l.mutex.Lock()
	l.budgets.forget()
	l.mutex.Unlock()
	for range leaveTries {
		a, err := l.call(ctx, round{complete: true, leaving: true})
		if err == nil && !a.moved {
			return
		}
	}
}

// round is what one renewal is about.
type round struct {
	waiters  map[string][]*waiter
	entries  []Entry
	complete bool
	leaving  bool
}

// renew makes one call, and a second one if the allocator has moved. It gives false when it reached no allocator.
func (l *Limiter) renew(ctx context.Context, all bool) bool {
	r, needed := l.collect(time.Now(), all)
	if !needed {
		return true
	}
	for range 2 {
		askedAt := time.Now()
		a, err := l.call(ctx, r)
		if err != nil {
			l.failed(r, err)
			return false
		}
		if !a.moved {
			l.apply(askedAt, r, a)
			return true
		}
	}
	l.failed(r, fault.New(fault.NotReady, "no control node is the allocator"))
	return false
}

// collect takes over the waiting requests, and tells whether there is anything to ask for. The renewal is complete when
// that is asked for, and when the allocator may not know all leases.
func (l *Limiter) collect(now time.Time, all bool) (r round, needed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r.waiters = l.waiting
	r.complete = all || l.unheard
	l.waiting = make(map[string][]*waiter)
	needs := make(map[string]int, len(r.waiters))
	for tenant, list := range r.waiters {
		for _, w := range list {
			if !w.left {
				needs[tenant]++
			}
		}
	}
	r.entries = l.budgets.renewal(now, needs, r.complete)
	return r, l.unheard || len(r.entries) > 0
}

// call sends a renewal to where the allocator is thought to be.
func (l *Limiter) call(ctx context.Context, r round) (*answer, error) {
	to, epoch, err := l.target()
	if err != nil {
		return nil, err
	}
	l.sequence++
	renewal := &Renewal{Life: l.life, Sequence: l.sequence, Epoch: epoch, Complete: r.complete, Leaving: r.leaving, Entries: r.entries}
	body, err := encodeRenewal(renewal)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m, err := l.caller.Call(ctx, to, peer.Message{Kind: kindRenew, Body: body})
	var a *answer
	if err == nil {
		a, err = decodeAnswer(m.Body)
	}
	if err == nil {
		err = l.accept(to, a, len(r.entries))
	}
	if err != nil {
		l.giveUp(to, err)
	}
	return a, err
}

// target is the allocator, or any control node to ask for it, and the newest epoch that is known.
func (l *Limiter) target() (netip.AddrPort, uint64, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.allocator.IsValid() {
		return l.allocator, l.epoch, nil
	}
	controls := l.controls()
	if len(controls) == 0 {
		return netip.AddrPort{}, 0, fault.New(fault.NotReady, "no control node is known")
	}
	return controls[rand.IntN(len(controls))], l.epoch, nil
}

// accept checks an answer and notes where the allocator is. What an allocator grants that is not the newest known must
// not be taken.
func (l *Limiter) accept(from netip.AddrPort, a *answer, entries int) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case a.moved && l.allocator.IsValid() && l.allocator != from:
		// A new allocator has been heard of meanwhile.
	case a.moved && a.allocator == from:
		l.allocator = netip.AddrPort{}
	case a.moved:
		l.allocator = a.allocator
	case a.epoch < l.epoch:
		return fault.New(fault.NotReady, "allocator of epoch %d, but %d has begun", a.epoch, l.epoch)
	case len(a.grants) != entries:
		return fault.New(fault.Internal, "%d grants for %d entries", len(a.grants), entries)
	default:
		l.epoch = a.epoch
		l.allocator = from
	}
	return nil
}

// giveUp forgets the allocator that a call failed at. One that takes this process for a former life at its address can
// only be asked by a new life, which holds nothing.
func (l *Limiter) giveUp(to netip.AddrPort, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.allocator == to {
		l.allocator = netip.AddrPort{}
	}
	if fault.KindOf(err) == fault.Conflict {
		l.life = rand.Uint64()
		l.budgets.forget()
		l.unheard = true
	}
}

// apply hands an answer's grants to the requests that wait.
func (l *Limiter) apply(askedAt time.Time, r round, a *answer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.failedAt = time.Time{}
	l.noteHeard(r, a)
	tokens := l.budgets.apply(now, askedAt, r.entries, a.grants)
	for tenant, list := range r.waiters {
		l.serve(now, tenant, list, tokens[tenant], exhausted)
	}
}

// noteHeard notes whether the allocator knows all leases, and renews again if not.
func (l *Limiter) noteHeard(r round, a *answer) {
	if r.complete {
		l.unheard = false
	}
	if a.unheard {
		l.unheard = true
		l.signal()
	}
}

// failed has the requests that wait go without the allocator, as it is out of reach.
func (l *Limiter) failed(r round, err error) {
	l.log.Debug("quota not renewed", zap.Error(err))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.failedAt = now
	for tenant, list := range r.waiters {
		l.serve(now, tenant, list, 0, unreachable)
	}
}
