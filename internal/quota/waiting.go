package quota

import (
	"context"
	"time"
)

// waitingRequest is a request that waits for a token.
type waitingRequest struct {
	outcome   chan outcome // receives the decision once; buffered, so that the sender does not block
	deadline  time.Time    // when the request stops waiting
	abandoned bool         // its caller has stopped waiting
}

// outcome is the decision on a waiting request.
type outcome uint8

const (
	granted     outcome = iota
	exhausted           // the tenant's rate is used up
	unsettled           // the allocator cannot decide yet whether the tenant's rate is used up
	unreachable         // the lease gives no token, and the allocator does not answer
)

// expectedOutcome returns the outcome that a request to the allocator would have now. granted means that the allocator may
// grant a token and has to be asked. The caller holds the mutex.
func (l *Limiter) expectedOutcome(now time.Time, tenant string) outcome {
	switch {
	case now.Sub(l.failedAt) < unreachableSpan:
		return unreachable
	case l.buckets.exhaustedFor(now, tenant) > 0:
		return l.buckets.refusalOf(now, tenant)
	}
	return granted
}

// keepWaiting makes a request wait if a token can be expected before its deadline, from the lease of this proxy or from the
// allocator. It reports whether the request waits. The caller holds the mutex.
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

// resolveLater resolves a tenant's waiting requests after the given time, but not before callPause.
func (l *Limiter) resolveLater(tenant string, wait time.Duration) {
	time.AfterFunc(max(wait, callPause), func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.resolveTenant(time.Now(), tenant)
	})
}

// resolveTenant gives a tenant's waiting requests the tokens of its lease. If the allocator may grant more tokens, the
// other requests wait for its answer; otherwise they are resolved without it. The caller holds the mutex.
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

// takeFor gives a waiting request a token of the lease. It reports whether there was a token.
func (l *Limiter) takeFor(now time.Time, tenant string, request *waitingRequest) bool {
	if !l.buckets.bucket(now, tenant).take() {
		return false
	}
	l.admissions.FromLeases++
	request.outcome <- granted
	return true
}

// resolveRequests gives the granted tokens, then those of the lease, to requests in order of arrival. The other requests
// keep waiting or are refused. It returns how many granted tokens abandoned requests leave over.
func (l *Limiter) resolveRequests(
	now time.Time, tenant string, requests []*waitingRequest, tokens int, refusal outcome,
) (unused int) {
	for _, request := range requests {
		switch {
		case request.abandoned:
			continue
		case tokens > 0:
			tokens--
			l.admissions.FromAllocator++
			request.outcome <- granted
		case l.takeFor(now, tenant, request):
		case l.keepWaiting(now, tenant, request, refusal):
		default:
			request.outcome <- refusal
		}
	}
	return tokens
}

// await waits for the outcome of a request, until the wait or the context ends.
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

// abandon marks a request as abandoned and returns its outcome. A decision that has already been made is returned instead.
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
