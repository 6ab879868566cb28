package quota

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/fault"
	"nickelline/internal/peer"
)

// renewalRound is what one renewal is about.
type renewalRound struct {
	waiters  map[string][]*waiter
	entries  []Entry
	complete bool
	leaving  bool
}

// renew makes one call, and a second one if the allocator has moved. It gives false when it reached no allocator.
func (l *Limiter) renew(ctx context.Context, all bool) bool {
	r, needed := l.startRound(time.Now(), all)
	if !needed {
		return true
	}
	for range 2 {
		askedAt := time.Now()
		a, err := l.call(ctx, r)
		if err != nil {
			l.failRound(r, err)
			return false
		}
		if !a.moved {
			l.applyAnswer(askedAt, r, a)
			return true
		}
	}
	l.failRound(r, fault.New(fault.NotReady, "no control node is the allocator"))
	return false
}

// startRound takes over the waiting requests, and tells whether there is anything to ask for. The renewal is complete when
// that is asked for, and when the allocator may not know all leases.
func (l *Limiter) startRound(now time.Time, all bool) (r renewalRound, needed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r.waiters = l.waiting
	r.complete = all || l.mustReclaim
	l.waiting = make(map[string][]*waiter)
	needs := make(map[string]int, len(r.waiters))
	for tenant, list := range r.waiters {
		for _, w := range list {
			if !w.abandoned {
				needs[tenant]++
			}
		}
	}
	r.entries = l.buckets.renewalEntries(now, needs, r.complete)
	return r, l.mustReclaim || len(r.entries) > 0
}

// call sends a renewal to where the allocator is thought to be.
func (l *Limiter) call(ctx context.Context, r renewalRound) (*answer, error) {
	to, epoch, err := l.destination()
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
		err = l.checkAnswer(to, a, len(r.entries))
	}
	if err != nil {
		l.dropAllocator(to, err)
	}
	return a, err
}

// destination is the allocator, or any control node to ask for it, and the newest epoch that is known.
func (l *Limiter) destination() (netip.AddrPort, uint64, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.allocator.IsValid() {
		return l.allocator, l.epoch, nil
	}
	controls := l.controlNodes()
	if len(controls) == 0 {
		return netip.AddrPort{}, 0, fault.New(fault.NotReady, "no control node is known")
	}
	return controls[rand.IntN(len(controls))], l.epoch, nil
}

// checkAnswer checks an answer and notes where the allocator is. What an allocator grants that is not the newest known must
// not be taken.
func (l *Limiter) checkAnswer(from netip.AddrPort, a *answer, entries int) error {
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

// dropAllocator forgets the allocator that a call failed at. One that takes this process for a former life at its address can
// only be asked by a new life, which holds nothing.
func (l *Limiter) dropAllocator(to netip.AddrPort, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.allocator == to {
		l.allocator = netip.AddrPort{}
	}
	if fault.KindOf(err) == fault.Conflict {
		l.life = rand.Uint64()
		l.buckets.endLeases()
		l.mustReclaim = true
	}
}

// applyAnswer hands an answer's grants to the requests that wait.
func (l *Limiter) applyAnswer(askedAt time.Time, r renewalRound, a *answer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.failedAt = time.Time{}
	l.updateReclaim(r, a)
	tokens := l.buckets.apply(now, askedAt, r.entries, a.grants)
	for tenant, list := range r.waiters {
		l.resolveWaiters(now, tenant, list, tokens[tenant], exhausted)
	}
}

// updateReclaim notes whether the allocator knows all leases, and renews again if not.
func (l *Limiter) updateReclaim(r renewalRound, a *answer) {
	if r.complete {
		l.mustReclaim = false
	}
	if a.mustReclaim {
		l.mustReclaim = true
		l.wakeRun()
	}
}

// failRound has the requests that wait go without the allocator, as it is out of reach.
func (l *Limiter) failRound(r renewalRound, err error) {
	l.log.Debug("quota not renewed", zap.Error(err))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.failedAt = now
	for tenant, list := range r.waiters {
		l.resolveWaiters(now, tenant, list, 0, unreachable)
	}
}
