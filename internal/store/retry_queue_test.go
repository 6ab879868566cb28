package store

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"nickelline/internal/admission"
	"nickelline/internal/batch"
	"nickelline/internal/discovery"
	"nickelline/internal/forward"
	"nickelline/internal/store/scheduler"
)

// Further jobs of a tenant whose queued tokens are near their limit are refused, so its items are as urgent as those of old jobs.
func TestUrgencyDependsOnAgeAndQueuedTokens(t *testing.T) {
	f := newFixture(t, 1)
	r := newRunner(f.config, f.partition, testTerm)
	full := testJob(testKey(1), 9, 1)
	for i := range full.Items {
		full.Items[i].Tokens = 60_000 // of 720,000 in all
	}
	f.submit(full)
	r.updateSchedule(time.Now())
	route, job := f.configuration.RouteByName(testRoute), r.schedule.Job(full.Key)
	for _, test := range []struct {
		age  time.Duration // of the completion target of 12 s
		want scheduler.Urgency
	}{
		{time.Second, scheduler.Urgency{Pressure: 0.75}},
		{10800 * time.Millisecond, scheduler.Urgency{Pressure: 0.9}},
		{15 * time.Second, scheduler.Urgency{Late: true, Pressure: 1.25}},
	} {
		if got := r.urgencyOf(route, job, test.age); got != test.want {
			t.Errorf("at %v: got %+v, want %+v", test.age, got, test.want)
		}
	}
}

// singleItemAdmission admits one item at a time, and refuses others with a long retry-after time. beforeDone is called before an
// item's permit is given back.
type singleItemAdmission struct {
	*fakeAdmission
	beforeDone func()
}

func (n singleItemAdmission) Pick(service string, now time.Time, r admission.Request) (discovery.Backend, Permit, *admission.Refusal) {
	n.set(func(f *fakeAdmission) { f.refuse = f.permits > 0 })
	b, permit, refusal := n.fakeAdmission.Pick(service, now, r)
	if refusal != nil {
		refusal.RetryAfter = time.Minute
		return b, permit, refusal
	}
	return b, singleItemPermit{Permit: permit, beforeDone: n.beforeDone}, nil
}

type singleItemPermit struct {
	Permit
	beforeDone func()
}

func (p singleItemPermit) Done(now time.Time, outcome admission.Outcome, load *admission.Load) {
	p.beforeDone()
	p.Permit.Done(now, outcome, load)
}

// hasWaitingItems reports whether the runner's schedule has waiting items.
func (r *runner) hasWaitingItems() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.schedule.Waiting() > 0
}

// Of two partitions of a store, the one with running items must not take all the capacity that becomes free while a more urgent job
// of the other partition waits. The test lets an item end only when each partition that has waiting items is in the retry queue.
func TestPartitionWithUrgentJobIsNotStarved(t *testing.T) {
	f := newFixture(t, 1)
	urgentJob, otherJob := testJob(testKey(1), 5, 1), testJob(testKey(2), 40, 1)
	for i := range urgentJob.Items {
		urgentJob.Items[i].Tokens = 100_000 // urgent because of its tenant's queued tokens
	}
	urgent := f.newUrgentRunner(urgentJob)
	// An item may end only when the urgent runner is in the queue; otherwise the other runner would get the capacity. The first
	// event of a response offers capacity too, and thereby removes the urgent runner from the queue until it is refused again.
	f.config.admission = singleItemAdmission{f.admission, func() { f.awaitBothQueued(urgent) }}
	f.backends[0].before = func(http.ResponseWriter, *http.Request) bool {
		f.awaitBothQueued(urgent)
		return false
	}
	f.submit(otherJob)
	f.start()
	f.eventually("the first item runs", func() bool { return len(f.backends[0].receivedRequests()) == 1 })
	f.run(urgent)
	f.results(otherJob.Key, 40)
	sent, before := f.countSent(urgentJob)
	if want := len(urgentJob.Items); sent < want {
		t.Errorf("urgent items sent: got %d, want %d", sent, want)
	}
	if most := len(otherJob.Items) / 2; before > most {
		t.Errorf("other items sent before the last urgent one: got %d, want at most %d", before, most)
	}
}

// awaitBothQueued waits until the fixture's runner and another runner are in the retry queue, or one of them has no waiting items.
func (f *fixture) awaitBothQueued(other *runner) {
	f.eventually("the runners that have waiting items are in the retry queue", func() bool {
		return !other.hasWaitingItems() || !f.runner.hasWaitingItems() || f.config.retryQueue.Len(testRoute) == 2
	})
}

// newUrgentRunner returns the runner of another partition that has a job. The runner is not started.
func (f *fixture) newUrgentRunner(job batch.Job) *runner {
	f.t.Helper()
	p, _ := newTestPartition()
	p.number = 2
	command := &batch.Command{Submit: &batch.Submit{Job: job}}
	if outcome, err := p.propose(context.Background(), command); outcome != batch.Done || err != nil {
		f.t.Fatal(outcome, err)
	}
	r := newRunner(f.config, p, testTerm)
	r.updateSchedule(time.Now())
	r.reviewJobs(context.Background(), time.Now())
	return r
}

// countSent returns how many items of a job were sent to the first backend, and how many other items before the last of them.
func (f *fixture) countSent(job batch.Job) (sent, othersBefore int) {
	prefix := testTenant + "-" + job.Key.Identifier + "-"
	for _, r := range f.backends[0].receivedRequests() {
		if strings.HasPrefix(r.Header.Get(forward.HeaderAttemptID), prefix) {
			sent++
		} else if sent < len(job.Items) {
			othersBefore++
		}
	}
	return sent, othersBefore
}
