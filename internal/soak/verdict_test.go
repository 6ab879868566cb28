package soak

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"nickelline/internal/pause"
)

const maxReported = 40 // violations of a run

// verdict checks the promises of the tier at the end of a run. Besides what clients, operator and submitter have recorded:
//
//   - requests answered with 408, 421, 429 or 503 were not executed (REFUSED)
//   - requests that are not idempotent were executed once at most (TWICE), others maxAttempts times (BUDGET)
//   - a process that was not killed or frozen has answered each request that was executed (LOST), and each other one in time
//   - no proper request was denied (DENIED)
//   - no request was executed whose key was taken away revocationMs before it was sent (CONFIG)
//   - no tenant got more than its limit in any window (QUOTA)
//   - batch jobs that were refused have not run (REFUSED), and accepted ones are complete (LOST)
//   - the last acknowledged configuration is in force at each control process that runs (LOST)
//   - all proxies serve again (RECOVER), which belongs to what is recorded of processes
type verdict struct {
	t        *testing.T
	tier     *tier
	record   *record
	backends *backends
}

func newVerdict(t *testing.T, tier *tier, record *record, b *backends) *verdict {
	return &verdict{t: t, tier: tier, record: record, backends: b}
}

// checkServing checks that all proxies are ready.
func (v *verdict) checkServing(ctx context.Context) {
	for _, p := range v.tier.ofRole(roleProxy) {
		deadline := time.Now().Add(recovery)
		for !isReady(v.tier.layout.readiness(p.index)) {
			if time.Now().After(deadline) || !pause.For(ctx, pollPause) {
				v.record.misbehaved("RECOVER: %s is not ready %v after the last fault", p.name, settleTime+recovery)
				break
			}
		}
	}
}

// checkConfiguration checks that each control process shows the last version that was acknowledged, or a later one that was
// sent.
func (v *verdict) checkConfiguration(ctx context.Context, o *operator) {
	want := o.acknowledgedBefore(time.Now())
	for _, p := range v.tier.ofRole(roleControl) {
		if !p.runs() {
			continue // recorded when it ended
		}
		deadline := time.Now().Add(recovery)
		got := 0
		for got < want && time.Now().Before(deadline) {
			got = o.read(ctx, p.index)
			pause.For(ctx, pollPause)
		}
		if got < want || got > o.version {
			v.record.violation("LOST: %s shows version %d, want %d to %d", p.name, got, want, o.version)
		}
	}
}

// checkAll checks the record and reports what was found.
func (v *verdict) checkAll(s *submitter, o *operator) {
	v.backends.stop()
	v.record.mutex.Lock()
	requests := v.record.requests
	v.record.mutex.Unlock()
	byStatus := map[int]int{}
	for _, q := range requests {
		byStatus[q.status]++
		v.checkRequest(q)
		v.checkKey(q, o)
	}
	v.checkQuota(requests)
	v.checkJobs(s)
	v.t.Logf("%d requests by status: %v; %d batch jobs", len(requests), byStatus, len(s.jobs))
	for i, text := range v.record.violations {
		if i == maxReported {
			v.t.Errorf("and %d more", len(v.record.violations)-maxReported)
			break
		}
		v.t.Error(text)
	}
	for _, text := range v.record.processes {
		v.t.Log(text)
	}
	if byStatus[http.StatusOK] == 0 {
		v.t.Error("no request was served")
	}
}

// promisesNotExecuted reports whether a status promises that the request was not executed.
func promisesNotExecuted(status int) bool {
	promises := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	return slices.Contains(promises, status)
}

func (v *verdict) checkRequest(q *request) {
	executions := v.record.executions[q.attempt]
	limit := maxAttempts
	if q.route == routeOrder {
		limit = 1
	}
	switch {
	case promisesNotExecuted(q.status) && len(executions) > 0:
		v.record.violation("REFUSED: %s (%s) got %d from %s and was executed: %+v", q.attempt, q.route, q.status, q.process.name, executions)
	case len(executions) > limit:
		v.record.violation("TWICE or BUDGET: %s (%s) was executed %d times, want %d at most", q.attempt, q.route, len(executions), limit)
	case q.status == http.StatusUnauthorized && q.key != noRotatingKey:
	case q.status >= 400 && q.status < 500 && !promisesNotExecuted(q.status):
		v.record.violation("DENIED: %s (%s) got %d from %s", q.attempt, q.route, q.status, q.process.name)
	}
	switch {
	case q.err == nil, q.excused, q.status == http.StatusOK && (brokenOff(executions) || q.reachedDeadline()):
	case q.timedOut:
		v.record.violation("CONFIG: %s (%s) has no answer from %s after %v", q.attempt, q.route, q.process.name, q.endedAt.Sub(q.sentAt))
	case q.status != 0 || len(executions) > 0:
		v.record.violation("LOST: %s (%s), sent at %s, to %s: status %d, then %v after %v; executions: %+v", q.attempt, q.route,
			q.sentAt.Format("15:04:05.000"), q.process.name, q.status, q.err, q.endedAt.Sub(q.sentAt), executions)
	}
}

// checkKey checks that a request was not executed with a key that had been taken away.
func (v *verdict) checkKey(q *request, o *operator) {
	if q.key == noRotatingKey || len(v.record.executions[q.attempt]) == 0 {
		return
	}
	if revoked, found := o.revokedAt(q.key); found && q.sentAt.Sub(revoked) > revocation {
		v.record.violation("CONFIG: %s was executed by way of %s, %v after its key was taken away", q.attempt, q.process.name, q.sentAt.Sub(revoked))
	}
}

// reachedDeadline reports whether the tier ended the request once the time was over that the client had given it. The route's is not
// shorter.
func (q *request) reachedDeadline() bool {
	return !q.timedOut && q.endedAt.Sub(q.sentAt) >= routeTimeout
}

// brokenOff reports whether the last backend has interrupted its response, or has failed, or sent another request's response on the
// same connection, after another one had interrupted its own.
func brokenOff(executions []execution) bool {
	if len(executions) == 0 {
		return false
	}
	last := executions[len(executions)-1]
	failed := last.status == http.StatusInternalServerError || last.spoiled
	return last.interrupted || failed && slices.ContainsFunc(executions, func(e execution) bool { return e.interrupted })
}

// checkQuota counts in each window the requests that were sent in it and have reached a backend in it.
func (v *verdict) checkQuota(requests []*request) {
	type arrival struct{ sent, arrived time.Time }
	var arrivals []arrival
	for _, q := range requests {
		if e := v.record.executions[q.attempt]; len(e) > 0 && e[0].tenant == tenantHot {
			arrivals = append(arrivals, arrival{sent: q.sentAt, arrived: e[0].at})
		}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return a.sent.Compare(b.sent) })
	allowed := (hotRate*quotaWindow.Seconds()+hotRate)*(1+quotaOvershoot) + quotaAllowance
	worst := 0
	for i, first := range arrivals {
		end, count := first.sent.Add(quotaWindow), 0
		for _, a := range arrivals[i:] {
			if a.sent.After(end) {
				break
			}
			if !a.arrived.After(end) {
				count++
			}
		}
		worst = max(worst, count)
	}
	v.t.Logf("tenant %s: %d requests executed, %d in the worst window of %.0f allowed", tenantHot, len(arrivals), worst, allowed)
	if float64(worst) > allowed {
		v.record.violation("QUOTA: tenant %s: %d requests in a window, allowed %.0f", tenantHot, worst, allowed)
	}
}

// checkJobs checks the batch jobs.
func (v *verdict) checkJobs(s *submitter) {
	for _, j := range s.jobs {
		switch {
		case j.accepted && !j.complete:
			v.record.violation("LOST: batch job %s was accepted and has %d of %d results", j.identifier, len(j.results), len(j.items))
		case !j.accepted && !j.unclear:
			for _, it := range j.items {
				if e := v.record.executions[it.Identifier]; len(e) > 0 {
					v.record.violation("REFUSED: item %s was executed, and its batch job was refused: %+v", it.Identifier, e)
				}
			}
		}
	}
}
