package store

import (
	"context"
	"net/http"
	"testing"
	"time"

	"nickelline/internal/batch"
)

func TestRunnerRunsAllItems(t *testing.T) {
	f := newFixture(t, 2)
	first := testJob(testKey(1), 20, 5)
	f.submit(first) // before the runner starts: it runs the jobs that former heads left
	f.start()
	second := testJob(testKey(2), 20, 5)
	f.submit(second)
	for _, job := range []batch.Job{first, second} {
		listed := map[string]bool{}
		for _, result := range f.results(job.Key, 20) {
			checkCompleted(t, result, 5)
			listed[result.Identifier] = true
		}
		if got := len(listed); got != 20 {
			t.Errorf("different items listed: got %d, want 20", got)
		}
	}
	if got := f.replica.commits; got > 30 {
		t.Errorf("commits for 40 results: got %d, want at most 30, because results are appended together", got)
	}
}

// stalledBackend streams the events before an id, and then nothing until the request is cancelled.
type stalledBackend struct {
	started   chan struct{} // receives when a request stalls
	cancelled chan struct{} // receives when a stalled request is cancelled
}

// stallAt makes a backend stall before the event with an id.
func stallAt(b *backend, stallID int) stalledBackend {
	s := stalledBackend{started: make(chan struct{}, 10), cancelled: make(chan struct{}, 10)}
	b.beforeEvent = func(r *http.Request, id int) bool {
		if id < stallID {
			return true
		}
		s.started <- struct{}{}
		<-r.Context().Done()
		s.cancelled <- struct{}{}
		return false
	}
	return s
}

func receive(t *testing.T, from <-chan struct{}) {
	t.Helper()
	timer := time.NewTimer(testTimeout)
	defer timer.Stop()
	select {
	case <-from:
	case <-timer.C:
		t.Fatal("timed out waiting for a channel")
	}
}

func TestEndCancelsRunningItems(t *testing.T) {
	f := newFixture(t, 1)
	stalled := stallAt(f.backends[0], 2)
	f.start()
	job := testJob(testKey(1), 2, 5)
	f.submit(job)
	receive(t, stalled.started)
	receive(t, stalled.started)
	if _, err := f.partition.propose(context.Background(), &batch.Command{End: &job.Key}); err != nil {
		t.Fatal(err)
	}
	receive(t, stalled.cancelled)
	receive(t, stalled.cancelled)
	f.eventually("all items are taken back", func() bool {
		f.runner.mutex.Lock()
		defer f.runner.mutex.Unlock()
		return len(f.runner.running) == 0 && f.runner.schedule.Len() == 0 && f.runner.schedule.Delayed() == 0
	})
	checkRequests(t, f.backends[0], 2)
}

func TestRunningItemsAreCancelledWithoutAConfirmation(t *testing.T) {
	f := newFixture(t, 1)
	f.config.stepDownAfter = 600 * time.Millisecond
	f.config.sendConfirmationAge = 200 * time.Millisecond
	stalled := stallAt(f.backends[0], 1)
	f.start()
	f.submit(testJob(testKey(1), 1, 5))
	receive(t, stalled.started)
	f.replica.set(func(r *fakeReplica) {
		r.barrierError = errTestNotReady
		r.proposeError = errTestNotReady
	})
	receive(t, stalled.cancelled)
	f.eventually("the item waits", func() bool {
		f.runner.mutex.Lock()
		defer f.runner.mutex.Unlock()
		return len(f.runner.running) == 0 && f.runner.schedule.Waiting() == 1
	})
	checkRequests(t, f.backends[0], 1)
}

func TestStoppedRunnerCancelsAllItems(t *testing.T) {
	f := newFixture(t, 1)
	stalled := stallAt(f.backends[0], 1)
	f.start()
	f.submit(testJob(testKey(1), 1, 5))
	receive(t, stalled.started)
	f.stop()
	receive(t, stalled.cancelled)
}

func TestItemsPastTheRetentionAreAbandoned(t *testing.T) {
	f := newFixture(t, 1)
	f.configure(testConfiguration(t, testPrefix, 2, 1), true)
	f.admission.refuse = true
	f.start()
	job := testJob(testKey(1), 3, 2)
	began := time.Now()
	f.submit(job)
	for _, result := range f.results(job.Key, 3) {
		checkAbandoned(t, result)
	}
	if got := time.Since(began); got < time.Second {
		t.Errorf("abandoned after %v, want at least the retention of 1s", got)
	}
}

// TestJobsOfAFormerHeadGrowOlder guards against jobs that a new head never gives up, because the partition's clock does not advance
// while nothing is committed.
func TestJobsOfAFormerHeadGrowOlder(t *testing.T) {
	f := newFixture(t, 1)
	f.configure(testConfiguration(t, testPrefix, 2, 1), true)
	f.admission.refuse = true
	job := testJob(testKey(1), 1, 2)
	f.submit(job)
	f.partition.clock = newHeadClock() // of the next head
	f.start()
	checkAbandoned(t, f.results(job.Key, 1)[0])
}

func TestClosedJobsAreDropped(t *testing.T) {
	f := newFixture(t, 1)
	f.config.statusInterval = 0
	job := testJob(testKey(1), 1, 1)
	f.submit(job)
	f.start()
	f.results(job.Key, 1)
	f.runner.mutex.Lock()
	f.runner.lastDrop = time.Now().Add(-dropInterval)
	f.runner.mutex.Unlock()
	f.runner.Wake()
	f.eventually("the job is dropped", func() bool {
		jobs := 0
		f.partition.state.read(func(m *batch.Machine) { jobs = m.Jobs() })
		return jobs == 0
	})
}
