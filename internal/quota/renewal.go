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

// renewalRound is one renewal with the requests that wait for its answer.
type renewalRound struct {
	requests map[string][]*waitingRequest
	entries  []Entry
	complete bool
	leaving  bool
}

// renew makes one call, and a second call if the allocator has moved. It reports false if it did not reach the allocator.
func (l *Limiter) renew(ctx context.Context, all bool) bool {
	round, needed := l.startRound(time.Now(), all)
	if !needed {
		return true
	}
	for range 2 {
		askedAt := time.Now()
		answer, err := l.call(ctx, round)
		if err != nil {
			l.failRound(round, err)
			return false
		}
		if !answer.moved {
			l.applyAnswer(askedAt, round, answer)
			return true
		}
	}
	l.failRound(round, fault.New(fault.NotReady, "no control node is the allocator"))
	return false
}

// startRound moves the waiting requests into a round, and reports whether there is anything to ask for. The renewal is
// complete if all is set, and when the allocator may not know all leases.
func (l *Limiter) startRound(now time.Time, all bool) (round renewalRound, needed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	round.requests = l.waiting
	round.complete = all || l.mustReclaim
	l.waiting = make(map[string][]*waitingRequest)
	needs := make(map[string]int, len(round.requests))
	for tenant, requests := range round.requests {
		for _, request := range requests {
			if !request.abandoned {
				needs[tenant]++
			}
		}
	}
	round.entries = l.buckets.renewalEntries(now, needs, round.complete)
	return round, l.mustReclaim || len(round.entries) > 0
}

// call sends a renewal to the node that is presumably the allocator, and checks the answer.
func (l *Limiter) call(ctx context.Context, round renewalRound) (*renewalAnswer, error) {
	to, epoch, err := l.destination()
	if err != nil {
		return nil, err
	}
	l.sequence++
	body, err := encodeRenewal(&Renewal{
		Generation: l.generation,
		Sequence:   l.sequence,
		Epoch:      epoch,
		Complete:   round.complete,
		Leaving:    round.leaving,
		Entries:    round.entries,
	})
	if err != nil {
		return nil, err
	}
	answer, err := l.exchange(ctx, to, body)
	if err == nil {
		err = l.checkAnswer(to, answer, len(round.entries))
	}
	if err != nil {
		l.dropAllocator(to, err)
	}
	return answer, err
}

// exchange sends an encoded renewal and returns the answer.
func (l *Limiter) exchange(ctx context.Context, to netip.AddrPort, renewal []byte) (*renewalAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	message, err := l.caller.Call(ctx, to, peer.Message{Kind: kindRenew, Body: renewal})
	if err != nil {
		return nil, err
	}
	return decodeAnswer(message.Body)
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

// checkAnswer checks an answer and records the address of the allocator. It rejects grants of an older epoch than the
// newest known one, since the limiter may have presented its leases to a newer allocator.
func (l *Limiter) checkAnswer(from netip.AddrPort, answer *renewalAnswer, entries int) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case answer.moved && l.allocator.IsValid() && l.allocator != from:
		// A new allocator has announced itself during the call.
	case answer.moved && answer.allocator == from:
		l.allocator = netip.AddrPort{}
	case answer.moved:
		l.allocator = answer.allocator
	case answer.epoch < l.epoch:
		return fault.New(fault.NotReady, "quota answer is of epoch %d, want %d at least", answer.epoch, l.epoch)
	case len(answer.grants) != entries:
		return fault.New(fault.Internal, "quota answer has %d grants, want %d", len(answer.grants), entries)
	default:
		l.epoch = answer.epoch
		l.allocator = from
	}
	return nil
}

// dropAllocator discards the address of the allocator after a failed call. After fault.Conflict the allocator considers
// this process a former one and will not accept its renewals any more, so the limiter starts again without leases under a
// new generation.
func (l *Limiter) dropAllocator(to netip.AddrPort, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.allocator == to {
		l.allocator = netip.AddrPort{}
	}
	if fault.KindOf(err) == fault.Conflict {
		l.generation = rand.Uint64()
		l.buckets.endLeases()
		l.mustReclaim = true
	}
}

// applyAnswer applies the grants of an answer and resolves the waiting requests of the round.
func (l *Limiter) applyAnswer(askedAt time.Time, round renewalRound, answer *renewalAnswer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.failedAt = time.Time{}
	l.updateReclaim(round, answer)
	tokens := l.buckets.apply(now, askedAt, round.entries, answer.grants)
	for tenant, requests := range round.requests {
		unused := l.resolveRequests(now, tenant, requests, tokens[tenant], l.buckets.refusalOf(now, tenant))
		for range unused {
			l.buckets.refund(now, askedAt, tenant)
		}
	}
}

// updateReclaim records whether the allocator knows all leases, and makes Run renew again if it does not.
func (l *Limiter) updateReclaim(round renewalRound, answer *renewalAnswer) {
	if round.complete {
		l.mustReclaim = false
	}
	if answer.mustReclaim {
		l.mustReclaim = true
		l.wakeRun()
	}
}

// failRound resolves the waiting requests of a round for which the allocator could not be reached.
func (l *Limiter) failRound(round renewalRound, err error) {
	l.log.Debug("renew quota leases failed", zap.Error(err))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.failedAt = now
	for tenant, requests := range round.requests {
		l.resolveRequests(now, tenant, requests, 0, unreachable)
	}
}
