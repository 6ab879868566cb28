package quota

import (
	"context"
	"time"
)

// waitingRequest is a request that waits for a token.
type waitingRequest struct {
	outcome   chan outcome // receives the decision once; has room for it
	deadline  time.Time    // after which the request does not wait any more
	abandoned bool         // its caller has stopped waiting
}

// outcome is the decision on a waiting request.
type outcome uint8

const (
	granted     outcome = iota
	exhausted           // the tenant's rate is used up
	unsettled           // the allocator cannot tell yet whether the tenant's rate is used up
	unreachable         // there is no token of a lease, and the allocator does not answer
)

// expectedOutcome returns what the allocator would answer now. granted means that it has to be asked.
func (l *Limiter) expectedOutcome(now time.Time, tenant string) outcome {
	switch {
	case now.Sub(l.failedAt) < unreachableSpan:
		return unreachable
	case l.buckets.exhaustedFor(now, tenant) > 0:
		return l.buckets.refusalOf(now, tenant)
	}
	return granted
}

// keepWaiting has a request wait if it can expect a token before its deadline, from the lease of its proxy or from the
// allocator. It reports whether the request waits.
func (l *Limiter) keepWaiting(now time.Time, tenant string, request *waitingRequest, refusal outcome) bool {
	after := l.buckets.tokenAfter(now, tenant, len(l.waiting[tenant]))
	if refusal == exhausted || refusal == unsettled {
		after = min(after, l.buckets.grantAfter(now, tenant))
	}
	if !now.Add(after).Before(request.deadline) {
		return false
	}
	l.waiting[tenant] = append(l.waiting[tenant], request)
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
		l.resolveTenant(time.Now(), tenant)
	})
}

// resolveTenant gives a tenant's waiting requests the tokens of its lease, and has the allocator asked for the others
// if it may have something.
func (l *Limiter) resolveTenant(now time.Time, tenant string) {
	requests := l.waiting[tenant]
	delete(l.waiting, tenant)
	refusal := l.expectedOutcome(now, tenant)
	if refusal != granted {
		l.resolveRequests(now, tenant, requests, 0, refusal)
		return
	}
	for i, request := range requests {
		if !request.abandoned && !l.takeFor(now, tenant, request) {
			l.waiting[tenant] = requests[i:]
			l.wakeRun()
			return
		}
	}
}

// takeFor gives a waiting request a token of the lease. It reports whether there was one.
func (l *Limiter) takeFor(now time.Time, tenant string, request *waitingRequest) bool {
	if !l.buckets.bucket(now, tenant).take() {
		return false
	}
	request.outcome <- granted
	return true
}

// resolveRequests gives tokens to requests in order of arrival. The others wait on or are refused. Tokens that abandoned
// requests leave over go back to the bucket.
func (l *Limiter) resolveRequests(now time.Time, tenant string, requests []*waitingRequest, tokens int, refusal outcome) {
	for _, request := range requests {
		switch {
		case request.abandoned:
			continue
		case tokens > 0:
			tokens--
			request.outcome <- granted
		case l.takeFor(now, tenant, request):
		case l.keepWaiting(now, tenant, request, refusal):
		default:
			request.outcome <- refusal
		}
	}
	for ; tokens > 0; tokens-- {
		l.buckets.refund(now, tenant)
	}
}

// await waits for the outcome of a request.
func (l *Limiter) await(ctx context.Context, tenant string, request *waitingRequest, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case r := <-request.outcome:
		return l.outcomeError(tenant, r)
	case <-ctx.Done():
	case <-timer.C:
	}
	return l.outcomeError(tenant, l.abandon(tenant, request))
}

// abandon stops waiting, and returns the outcome if it has just come.
func (l *Limiter) abandon(tenant string, request *waitingRequest) outcome {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	select {
	case r := <-request.outcome:
		return r
	default:
	}
	request.abandoned = true
	return l.buckets.refusalOf(time.Now(), tenant)
}
