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
	f.submit(first) // before the runner starts: it finds what former heads left
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
		t.Errorf("commits for 40 results: got %d, want at most 30, as results are appended together", got)
	}
}

// stuckBackend streams the events up to an id, and then nothing until the request is cancelled.
type stuckBackend struct {
	started   chan struct{} // receives when a request is stuck
	cancelled chan struct{} // receives when such a request was cancelled
}

// stickAt has a backend get stuck before the event with an id.
func stickAt(b *backend, stuckID int) stuckBackend {
	s := stuckBackend{started: make(chan struct{}, 10), cancelled: make(chan struct{}, 10)}
	b.beforeEvent = func(r *http.Request, id int) bool {
		if id < stuckID {
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
		t.Fatal("not in time")
	}
}

func TestEndCancelsRunningItems(t *testing.T) {
	f := newFixture(t, 1)
	stuck := stickAt(f.backends[0], 2)
	f.start()
	job := testJob(testKey(1), 2, 5)
	f.submit(job)
	receive(t, stuck.started)
	receive(t, stuck.started)
	if _, err := f.partition.propose(context.Background(), &batch.Command{End: &job.Key}); err != nil {
		t.Fatal(err)
	}
	receive(t, stuck.cancelled)
	receive(t, stuck.cancelled)
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
	stuck := stickAt(f.backends[0], 1)
	f.start()
	f.submit(testJob(testKey(1), 1, 5))
	receive(t, stuck.started)
	f.replica.set(func(r *fakeReplica) {
		r.barrier = errTestNotReady
		r.propose = errTestNotReady
	})
	receive(t, stuck.cancelled)
	f.eventually("the item waits", func() bool {
		f.runner.mutex.Lock()
		defer f.runner.mutex.Unlock()
		return len(f.runner.running) == 0 && f.runner.schedule.Waiting() == 1
	})
	checkRequests(t, f.backends[0], 1)
}

func TestStoppedRunnerCancelsAllItems(t *testing.T) {
	f := newFixture(t, 1)
	stuck := stickAt(f.backends[0], 1)
	f.start()
	f.submit(testJob(testKey(1), 1, 5))
	receive(t, stuck.started)
	f.stop()
	receive(t, stuck.cancelled)
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
