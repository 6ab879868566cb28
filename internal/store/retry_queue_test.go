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

// A tenant whose waiting tokens are near their bound has further jobs refused, so its items press as old ones do.
func TestUrgencyIsByAgeAndByWaitingTokens(t *testing.T) {
	f := newFixture(t, 1)
	r := newRunner(f.config, f.partition)
	full := testJob(testKey(1), 9, 1)
	for i := range full.Items {
		full.Items[i].Tokens = 60_000 // of 720,000 in all
	}
	f.submit(full)
	r.updateSchedule(time.Now())
	route, job := f.configuration.RouteByName(testRoute), r.schedule.Job(full.Key)
	for _, c := range []struct {
		age  time.Duration // of the 12 s until results are due
		want scheduler.Urgency
	}{
		{time.Second, scheduler.Urgency{Pressure: 0.75}},
		{10800 * time.Millisecond, scheduler.Urgency{Pressure: 0.9}},
		{15 * time.Second, scheduler.Urgency{Late: true, Pressure: 1.25}},
	} {
		if got := r.urgencyOf(route, job, c.age); got != c.want {
			t.Errorf("at %v: %+v, want %+v", c.age, got, c.want)
		}
	}
}

// narrowAdmission admits one item at a time, and tells refused ones to come back late.
type narrowAdmission struct{ *fixedAdmission }

func (n narrowAdmission) Pick(service string, now time.Time, r admission.Request) (discovery.Backend, Permit, *admission.Refusal) {
	n.set(func(f *fixedAdmission) { f.refuse = f.tickets > 0 })
	b, permit, refusal := n.fixedAdmission.Pick(service, now, r)
	if refusal != nil {
		refusal.RetryAfter = time.Minute
	}
	return b, permit, refusal
}

// waitsForTurns tells whether a number of runners wait for room.
func (f *fixture) waitsForTurns(runners int) bool {
	return f.config.retryQueue.Len(testRoute) == runners
}

// hasReady tells whether items wait in a runner's queue.
func (r *runner) hasReady() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.schedule.Waiting() > 0
}

// Of two partitions of a store, the one that has items running must not take all the room that becomes free while the other
// one's more urgent job waits. An item ends only when all that have items left have been refused and wait.
func TestPartitionWithUrgentJobIsNotStarved(t *testing.T) {
	f := newFixture(t, 1)
	f.config.admission = narrowAdmission{f.admission}
	urgent, _ := newTestPartition()
	urgent.number = 2
	urgentJob, calmJob := testJob(testKey(1), 5, 1), testJob(testKey(2), 40, 1)
	for i := range urgentJob.Items {
		urgentJob.Items[i].Tokens = 100_000 // presses by the tokens that its tenant has waiting
	}
	take := &batch.Command{Submit: &batch.Submit{Job: urgentJob}}
	if outcome, err := urgent.propose(context.Background(), take); outcome != batch.Done || err != nil {
		t.Fatal(outcome, err)
	}
	second := newRunner(f.config, urgent)
	second.updateSchedule(time.Now())
	second.reviewJobs(context.Background(), time.Now())
	f.backends[0].before = func(http.ResponseWriter, *http.Request) bool {
		f.eventually("all wait that have items left", func() bool { return !second.hasReady() || !f.runner.hasReady() || f.waitsForTurns(2) })
		return false
	}
	f.submit(calmJob)
	f.start()
	f.eventually("the first item runs", func() bool { return len(f.backends[0].seen()) == 1 })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		second.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	f.results(calmJob.Key, 40)
	sent, calm := 0, 0
	for _, r := range f.backends[0].seen() {
		if strings.HasPrefix(r.Header.Get(forward.HeaderAttemptID), testTenant+"-"+urgentJob.Key.Identifier+"-") {
			sent++
		} else if sent < len(urgentJob.Items) {
			calm++
		}
	}
	// An item that ends before the urgent runner waits again leaves the room to the other one.
	if sent < len(urgentJob.Items) || calm > len(calmJob.Items)/2 {
		t.Errorf("%d of %d urgent items are sent, beside %d of the other job until then", sent, len(urgentJob.Items), calm)
	}
}
