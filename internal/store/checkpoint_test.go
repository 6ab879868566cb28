package store

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/forward"
)

// checkpointEvents returns the number of events in the checkpoints of a job's first item.
func (f *fixture) checkpointEvents(key batch.Key) (events uint32) {
	f.partition.state.read(func(m *batch.Machine) {
		if open, ok := m.PendingJob(key); ok {
			events = open.Items[0].Events
		}
	})
	return events
}

// The head stops in the middle of an item's text. The next head must continue after the last checkpoint, wherever that is.
func TestNextHeadContinuesAfterTheCheckpoint(t *testing.T) {
	const total = 9
	for stop := 1; stop < total; stop++ {
		f := newFixture(t, 1)
		f.config.checkpointInterval = 0
		var isFirstHead atomic.Bool
		isFirstHead.Store(true)
		f.backends[0].beforeEvent = func(r *http.Request, id int) bool {
			if isFirstHead.Load() && id > stop {
				<-r.Context().Done() // sends nothing until the head stops
				return false
			}
			return true
		}
		job := testJob(testKey(1), 1, total)
		f.submit(job)
		f.start()
		f.eventually("the text is replicated up to the stop", func() bool { return f.checkpointEvents(job.Key) == uint32(stop) })
		f.stop()
		isFirstHead.Store(false)
		f.start()
		checkCompleted(t, f.results(job.Key, 1)[0], total)
		requests := f.backends[0].receivedRequests()
		got := requests[len(requests)-1].Header.Get(forward.HeaderLastEventID)
		if want := strconv.Itoa(stop); got != want {
			t.Errorf("last event id at the next head: got %q, want %q", got, want)
		}
	}
}

// A commit whose outcome is unknown is retried: the text must not contain the checkpoint twice.
func TestCheckpointOfUnknownOutcomeIsAddedOnce(t *testing.T) {
	const total = 6
	f := newFixture(t, 1)
	f.config.checkpointInterval = 0
	f.replica.unclearAppends = 3
	f.start()
	job := testJob(testKey(1), 1, total)
	f.submit(job)
	checkCompleted(t, f.results(job.Key, 1)[0], total)
}

// A runner must end only after its last append has ended, so that nothing it appends is committed after the next runner has begun.
func TestRunnerEndsAfterItsLastAppend(t *testing.T) {
	f := newFixture(t, 1)
	f.config.checkpointInterval = 0
	f.backends[0].beforeEvent = func(r *http.Request, id int) bool {
		if id > 1 {
			<-r.Context().Done()
		}
		return id == 1
	}
	var stopped, stoppedDuringAppend atomic.Bool
	appending, appended := make(chan struct{}), make(chan struct{})
	f.replica.beforeAppend = func(ctx context.Context) {
		defer close(appended)
		close(appending)
		<-ctx.Done()
		deadline := time.NewTimer(100 * time.Millisecond)
		defer deadline.Stop()
		poll := time.NewTicker(time.Millisecond)
		defer poll.Stop()
		for !stopped.Load() {
			select {
			case <-poll.C:
			case <-deadline.C:
				return
			}
		}
		stoppedDuringAppend.Store(true)
	}
	f.submit(testJob(testKey(1), 1, 5))
	f.start()
	<-appending
	f.stop()
	stopped.Store(true)
	<-appended
	if stoppedDuringAppend.Load() {
		t.Error("the runner has ended while its checkpoint was being appended")
	}
}
