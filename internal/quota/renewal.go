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

// renewalRound is one renewal, and the requests that wait for its answer.
type renewalRound struct {
	waiters  map[string][]*waiter
	entries  []Entry
	complete bool
	leaving  bool
}

// renew makes one call, and a second one if the allocator has moved. It reports whether it reached the allocator.
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

// startRound takes over the waiting requests, and reports whether there is anything to ask for. The renewal is complete
// if all is set, and when the allocator may not know all leases.
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

// call sends a renewal to the node that is believed to be the allocator.
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

// destination returns the allocator, or a random control node while it is unknown, and the newest known epoch.
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

// checkAnswer checks an answer and records where the allocator is. Grants of an older epoch than the newest known are
// rejected: the limiter has presented its leases to a newer allocator.
func (l *Limiter) checkAnswer(from netip.AddrPort, a *answer, entries int) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case a.moved && l.allocator.IsValid() && l.allocator != from:
		// A new allocator has announced itself meanwhile.
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

// dropAllocator forgets the allocator after a failed call. An allocator that takes this process for a former one at its
// address (fault.Conflict) accepts renewals only of a new identity, which starts without leases.
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

// applyAnswer takes over the grants of an answer and resolves the requests that wait.
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

// updateReclaim records whether the allocator knows all leases, and renews again if not.
func (l *Limiter) updateReclaim(r renewalRound, a *answer) {
	if r.complete {
		l.mustReclaim = false
	}
	if a.mustReclaim {
		l.mustReclaim = true
		l.wakeRun()
	}
}

// failRound resolves the requests that wait without the allocator, which is out of reach.
func (l *Limiter) failRound(r renewalRound, err error) {
	l.log.Debug("renew quota leases failed", zap.Error(err))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.failedAt = now
	for tenant, list := range r.waiters {
		l.resolveWaiters(now, tenant, list, 0, unreachable)
	}
}
