package store

import (
	"slices"
	"testing"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/store/scheduler"
)

func TestRefusedItemsAreTriedAgain(t *testing.T) {
	f := newFixture(t, 1)
	f.admission.refuse = true
	f.start()
	job := testJob(testKey(1), 3, 2)
	f.submit(job)
	f.eventually("admission was asked again", func() bool {
		refused := 0
		f.admission.set(func(a *fakeAdmission) { refused = a.refused })
		return refused >= 3
	})
	f.admission.set(func(a *fakeAdmission) { a.refuse = false })
	f.results(job.Key, 3)
}

func TestSlotsBoundTheRunningItems(t *testing.T) {
	f := newFixture(t, 1)
	f.config.slots = scheduler.NewSlots(4)
	f.start()
	job := testJob(testKey(1), 40, 2)
	f.submit(job)
	f.results(job.Key, 40)
	if got := f.admission.maxPermits; got > 4 {
		t.Errorf("items that ran concurrently: got %d, want at most 4", got)
	}
}

// awaitSuspended waits until the runner has been suspended and has one job with the given number of waiting items.
func (f *fixture) awaitSuspended(waiting int) {
	f.t.Helper()
	f.eventually("the schedule is suspended with its items", func() bool {
		f.runner.mutex.Lock()
		defer f.runner.mutex.Unlock()
		schedule := f.runner.schedule
		return schedule.Len() == 1 && schedule.Waiting() == waiting && schedule.SuspendedUntil().After(time.Time{})
	})
}

func TestNothingIsSentWithoutAConfirmationOfBeingHead(t *testing.T) {
	f := newFixture(t, 1)
	f.replica.set(func(r *fakeReplica) { r.barrierError = errTestNotReady })
	f.config.sendConfirmationAge = time.Nanosecond
	f.submit(testJob(testKey(1), 3, 2))
	f.start()
	// The runner enters its loop only after a barrier. With this sendConfirmationAge no confirmation is fresh enough to send.
	f.replica.set(func(r *fakeReplica) { r.barrierError = nil })
	f.awaitSuspended(3)
	checkRequests(t, f.backends[0], 0)
}

func TestNothingIsSentUnlessTheConfigurationIsCurrent(t *testing.T) {
	f := newFixture(t, 1)
	f.configure(f.configuration, false)
	f.start()
	job := testJob(testKey(1), 3, 2)
	f.submit(job)
	f.awaitSuspended(3)
	checkRequests(t, f.backends[0], 0)
	f.configure(f.configuration, true)
	f.results(job.Key, 3)
}

// TestNothingIsSentWhileResultsCannotBeCommitted guards against memory that is used up by results while the disk fails: items went on to
// run, as being head needs no disk, and their results waited.
func TestNothingIsSentWhileResultsCannotBeCommitted(t *testing.T) {
	f := newFixture(t, 1)
	f.start()
	pending := []batch.Result{{Content: make([]byte, maxPendingBytes)}}
	f.runner.appender.mutex.Lock()
	f.runner.appender.bytes += len(pending[0].Content)
	f.runner.appender.mutex.Unlock()
	job := testJob(testKey(1), 3, 2)
	f.submit(job)
	f.awaitSuspended(3)
	checkRequests(t, f.backends[0], 0)
	f.runner.appender.appended(pending)
	f.results(job.Key, 3)
}

func TestItemsOfARemovedRouteAreAbandoned(t *testing.T) {
	f := newFixture(t, 1)
	removed := configurationWithoutBatch(t)
	f.configure(removed, false) // not confirmed to be current: the items wait
	f.start()
	job := testJob(testKey(1), 3, 2)
	f.submit(job)
	f.awaitSuspended(3)
	f.configure(removed, true)
	for _, result := range f.results(job.Key, 3) {
		checkAbandoned(t, result)
	}
	checkRequests(t, f.backends[0], 0)
}

func TestLateJobsRunAfterTheOthers(t *testing.T) {
	f := newFixture(t, 1)
	f.config.slots = scheduler.NewSlots(1)
	late, second := testJob(testKey(1), 3, 1), testJob(testKey(2), 3, 1)
	f.submit(late)
	f.submit(second)
	r := newRunner(f.config, f.partition, testTerm)
	r.updateSchedule(time.Now())
	r.schedule.Job(late.Key).Urgency.Late = true
	var got []string
	for item := r.schedule.Next(time.Now()); item != nil; item = r.schedule.Next(time.Now()) {
		got = append(got, item.Job.Pending.Key.Identifier)
	}
	if want := []string{"job-2", "job-2", "job-2", "job-1", "job-1", "job-1"}; !slices.Equal(got, want) {
		t.Errorf("jobs of the items in order: got %v, want %v", got, want)
	}
}
