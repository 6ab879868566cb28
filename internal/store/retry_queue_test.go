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

// A tenant whose queued tokens are near their limit has further jobs refused, so its items are as urgent as old ones.
func TestUrgencyIsByAgeAndByQueuedTokens(t *testing.T) {
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

// narrowAdmission admits one item at a time, and names a late time to retry to refused ones. beforeDone is called before an
// item's permit is given back.
type narrowAdmission struct {
	*fixedAdmission
	beforeDone func()
}

func (n narrowAdmission) Pick(service string, now time.Time, r admission.Request) (discovery.Backend, Permit, *admission.Refusal) {
	n.set(func(f *fixedAdmission) { f.refuse = f.tickets > 0 })
	b, permit, refusal := n.fixedAdmission.Pick(service, now, r)
	if refusal != nil {
		refusal.RetryAfter = time.Minute
		return b, permit, refusal
	}
	return b, narrowPermit{Permit: permit, beforeDone: n.beforeDone}, nil
}

type narrowPermit struct {
	Permit
	beforeDone func()
}

func (p narrowPermit) Done(now time.Time, outcome admission.Outcome, load *admission.Load) {
	p.beforeDone()
	p.Permit.Done(now, outcome, load)
}

// hasWaitingItems reports whether items wait in a runner's schedule.
func (r *runner) hasWaitingItems() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.schedule.Waiting() > 0
}

// Of two partitions of a store, the one that has items running must not take all the capacity that becomes free while the other
// one's more urgent job waits. An item ends only when all that have items left have been refused and wait.
func TestPartitionWithUrgentJobIsNotStarved(t *testing.T) {
	f := newFixture(t, 1)
	urgentJob, calmJob := testJob(testKey(1), 5, 1), testJob(testKey(2), 40, 1)
	for i := range urgentJob.Items {
		urgentJob.Items[i].Tokens = 100_000 // urgent by the tokens that its tenant has queued
	}
	urgent := f.newUrgentRunner(urgentJob)
	// The first event of a response offers capacity too, which takes the urgent runner out of the queue until it is refused again.
	f.config.admission = narrowAdmission{f.admission, func() { f.awaitBothQueued(urgent) }}
	f.backends[0].before = func(http.ResponseWriter, *http.Request) bool {
		f.awaitBothQueued(urgent)
		return false
	}
	f.submit(calmJob)
	f.start()
	f.eventually("the first item runs", func() bool { return len(f.backends[0].seen()) == 1 })
	f.run(urgent)
	f.results(calmJob.Key, 40)
	sent, before := f.sentOf(urgentJob)
	// An item that ends before the urgent runner waits again leaves the capacity to the other one.
	if want := len(urgentJob.Items); sent < want {
		t.Errorf("urgent items sent: got %d, want %d", sent, want)
	}
	if most := len(calmJob.Items) / 2; before > most {
		t.Errorf("other items sent before the last urgent one: got %d, want at most %d", before, most)
	}
}

// awaitBothQueued waits until the fixture's runner and another one are in the retry queue, or one of them has no waiting items.
func (f *fixture) awaitBothQueued(other *runner) {
	f.eventually("all wait that have items left", func() bool {
		return !other.hasWaitingItems() || !f.runner.hasWaitingItems() || f.config.retryQueue.Len(testRoute) == 2
	})
}

// newUrgentRunner returns the runner, which does not run yet, of another partition with a job.
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

// sentOf returns how many items of a job were sent to the first backend, and how many others before the last of them.
func (f *fixture) sentOf(job batch.Job) (sent, othersBefore int) {
	prefix := testTenant + "-" + job.Key.Identifier + "-"
	for _, r := range f.backends[0].seen() {
		if strings.HasPrefix(r.Header.Get(forward.HeaderAttemptID), prefix) {
			sent++
		} else if sent < len(job.Items) {
			othersBefore++
		}
	}
	return sent, othersBefore
}
