package quota

import (
	"context"
	"time"

	"nickelline/internal/configuration"
	"nickelline/internal/fault"
)

type maxWaitKey struct{}

// WithMaxWait returns a context with which Take waits for a token no longer than the given time. Take ignores a time that is
// not positive, and never waits longer than maxWait.
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

// Take admits one request of a tenant. It may wait for a token for a short time. It refuses a request with
// fault.QuotaExceeded if the tenant's rate is used up, and with fault.NotReady if the lease gives no token and the
// allocator does not answer or cannot decide yet. RetryAfter of the error returns the time after which to retry.
func (l *Limiter) Take(ctx context.Context, tenant *configuration.Tenant) error {
	if tenant == nil || !tenant.IsRateLimited() {
		return nil
	}
	wait := maxWaitOf(ctx)
	request, err := l.takeOrWait(time.Now(), tenant.Name, wait)
	if request == nil {
		return err
	}
	return l.await(ctx, tenant.Name, request, wait)
}

// takeOrWait takes a token, returns a request that waits for a token, or refuses the request with an error.
func (l *Limiter) takeOrWait(now time.Time, tenant string, wait time.Duration) (*waitingRequest, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.buckets.takeOnArrival(now, tenant) {
		l.admissions.FromLeases++
		return nil, nil
	}
	request := &waitingRequest{outcome: make(chan outcome, 1), deadline: now.Add(wait)}
	refusal := l.expectedOutcome(now, tenant)
	if refusal == granted {
		l.waiting[tenant] = append(l.waiting[tenant], request)
		l.wakeRun()
		return request, nil
	}
	if l.keepWaiting(now, tenant, request, refusal) {
		return request, nil
	}
	return nil, l.refusalError(now, tenant, refusal)
}

// outcomeError returns the error for an outcome, nil if a token was granted.
func (l *Limiter) outcomeError(tenant string, r outcome) error {
	if r == granted {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.refusalError(time.Now(), tenant, r)
}

// refusalError returns the error for a request that gets no token. The caller holds the mutex.
func (l *Limiter) refusalError(now time.Time, tenant string, r outcome) error {
	switch r {
	case unreachable:
		return newRefusal(fault.NotReady, tenant, unreachableSpan)
	case unsettled:
		return newRefusal(fault.NotReady, tenant, max(l.buckets.grantAfter(now, tenant), callPause))
	case granted, exhausted:
	}
	return newRefusal(fault.QuotaExceeded, tenant, max(l.buckets.exhaustedFor(now, tenant), callPause))
}
