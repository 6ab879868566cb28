package quota

import (
	"context"
	"time"

	"nickelline/internal/configuration"
	"nickelline/internal/fault"
)

// waiter is a request that waits for a token.
type waiter struct {
	outcome   chan outcome
	deadline  time.Time
	abandoned bool
}

// outcome is the decision on a waiting request.
type outcome uint8

const (
	granted outcome = iota
	exhausted
	unreachable
)

type maxWaitKey struct{}

// WithMaxWait returns a context with which Take waits for a token no longer than the given time.
func WithMaxWait(ctx context.Context, wait time.Duration) context.Context {
	return context.WithValue(ctx, maxWaitKey{}, wait)
}

// maxWaitOf returns how long Take may wait for a token.
func maxWaitOf(ctx context.Context) time.Duration {
	if wait, given := ctx.Value(maxWaitKey{}).(time.Duration); given && wait > 0 {
		return min(wait, maxWait)
	}
	return maxWait
}

// Take admits one request of a tenant. It may wait for a token for a short time. It refuses with fault.QuotaExceeded,
// for which RetryAfter returns when to try again, or with fault.NotReady when there is neither a lease nor an
// allocator.
func (l *Limiter) Take(ctx context.Context, tenant *configuration.Tenant) error {
	if tenant == nil || !tenant.Limited() {
		return nil
	}
	wait := maxWaitOf(ctx)
	w, err := l.takeOrWait(time.Now(), tenant.Name, wait)
	if w == nil {
		return err
	}
	return l.await(ctx, tenant.Name, w, wait)
}

// takeOrWait takes a token, or returns a waiter for one, or refuses with an error.
func (l *Limiter) takeOrWait(now time.Time, tenant string, wait time.Duration) (*waiter, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.buckets.takeOnArrival(now, tenant) {
		return nil, nil
	}
	w := &waiter{outcome: make(chan outcome, 1), deadline: now.Add(wait)}
	refusal := l.expectedOutcome(now, tenant)
	if refusal == granted {
		l.waiting[tenant] = append(l.waiting[tenant], w)
		l.wakeRun()
		return w, nil
	}
	if l.keepWaiting(now, tenant, w, refusal) {
		return w, nil
	}
	return nil, l.refusalError(now, tenant, refusal)
}

// expectedOutcome returns what the allocator would answer now. granted means that it has to be asked.
func (l *Limiter) expectedOutcome(now time.Time, tenant string) outcome {
	switch {
	case now.Sub(l.failedAt) < unreachableSpan:
		return unreachable
	case l.buckets.exhaustedFor(now, tenant) > 0:
		return exhausted
	}
	return granted
}

// keepWaiting has a request wait if it can expect a token before its deadline, from the lease of its proxy or from the
// allocator. It reports whether the request waits.
func (l *Limiter) keepWaiting(now time.Time, tenant string, w *waiter, refusal outcome) bool {
	after := l.buckets.tokenAfter(now, tenant, len(l.waiting[tenant]))
	if refusal == exhausted {
		after = min(after, l.buckets.grantAfter(now, tenant))
	}
	if !now.Add(after).Before(w.deadline) {
		return false
	}
	l.waiting[tenant] = append(l.waiting[tenant], w)
	if len(l.waiting[tenant]) == 1 {
		l.resolveLater(tenant, after)
	}
	return true
}

// resolveLater resolves a tenant's waiting requests after a time.
func (l *Limiter) resolveLater(tenant string, wait time.Duration) {
	time.AfterFunc(max(wait, callPause), func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.resolveWaiting(time.Now(), tenant)
	})
}

// resolveWaiting gives a tenant's waiting requests the tokens of its lease, and has the allocator asked for the others
// if it may have something.
func (l *Limiter) resolveWaiting(now time.Time, tenant string) {
	list := l.waiting[tenant]
	delete(l.waiting, tenant)
	refusal := l.expectedOutcome(now, tenant)
	if refusal != granted {
		l.resolveWaiters(now, tenant, list, 0, refusal)
		return
	}
	for i, w := range list {
		if !w.abandoned && !l.takeFor(now, tenant, w) {
			l.waiting[tenant] = list[i:]
			l.wakeRun()
			return
		}
	}
}

// takeFor gives a waiting request a token of the lease. It reports whether there was one.
func (l *Limiter) takeFor(now time.Time, tenant string, w *waiter) bool {
	if !l.buckets.bucket(now, tenant).take() {
		return false
	}
	w.outcome <- granted
	return true
}

// resolveWaiters gives tokens to requests in order of arrival. The others wait on or are refused. Tokens that abandoned
// requests leave over go back to the bucket.
func (l *Limiter) resolveWaiters(now time.Time, tenant string, list []*waiter, tokens int, refusal outcome) {
	for _, w := range list {
		switch {
		case w.abandoned:
			continue
		case tokens > 0:
			tokens--
			w.outcome <- granted
		case l.takeFor(now, tenant, w):
		case l.keepWaiting(now, tenant, w, refusal):
		default:
			w.outcome <- refusal
		}
	}
	for ; tokens > 0; tokens-- {
		l.buckets.refund(now, tenant)
	}
}

// await waits for the outcome of a waiter.
func (l *Limiter) await(ctx context.Context, tenant string, w *waiter, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case r := <-w.outcome:
		return l.outcomeError(tenant, r)
	case <-ctx.Done():
	case <-timer.C:
	}
	return l.outcomeError(tenant, l.abandon(w))
}

// abandon stops waiting, and returns the outcome if it has just come.
func (l *Limiter) abandon(w *waiter) outcome {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	select {
	case r := <-w.outcome:
		return r
	default:
	}
	w.abandoned = true
	if l.allocator.IsValid() {
		return exhausted
	}
	return unreachable
}

// outcomeError returns the error of an outcome, nil if a token was granted.
func (l *Limiter) outcomeError(tenant string, r outcome) error {
	if r == granted {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.refusalError(time.Now(), tenant, r)
}

// refusalError returns the error of a request that gets no token.
func (l *Limiter) refusalError(now time.Time, tenant string, r outcome) error {
	if r == unreachable {
		return newRefusal(fault.NotReady, tenant, unreachableSpan)
	}
	return newRefusal(fault.QuotaExceeded, tenant, max(l.buckets.exhaustedFor(now, tenant), callPause))
}
