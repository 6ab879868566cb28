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

// checkpointEvents returns how many events of the text of a job's first item the checkpoints hold.
func (f *fixture) checkpointEvents(key batch.Key) (events uint32) {
	f.partition.state.read(func(m *batch.Machine) {
		if open, ok := m.PendingJob(key); ok {
			events = open.Items[0].Events
		}
	})
	return events
}

// The head ends in the middle of an item's text. The next head has to continue behind the last checkpoint, wherever that is.
func TestNextHeadContinuesBehindTheCheckpoint(t *testing.T) {
	const total = 9
	for stop := 1; stop < total; stop++ {
		f := newFixture(t, 1)
		f.config.checkpointInterval = 0
		var isFirstHead atomic.Bool
		isFirstHead.Store(true)
		f.backends[0].beforeEvent = func(r *http.Request, id int) bool {
			if isFirstHead.Load() && id > stop {
				<-r.Context().Done() // sends nothing until the head ends
				return false
			}
			return true
		}
		job := testJob(testKey(1), 1, total)
		f.submit(job)
		f.start()
		f.eventually("the text is replicated up to there", func() bool { return f.checkpointEvents(job.Key) == uint32(stop) })
		f.stop()
		isFirstHead.Store(false)
		f.start()
		checkCompleted(t, f.results(job.Key, 1)[0], total)
		requests := f.backends[0].seen()
		got := requests[len(requests)-1].Header.Get(forward.HeaderLastEventID)
		if want := strconv.Itoa(stop); got != want {
			t.Errorf("last event id at the next head: got %q, want %q", got, want)
		}
	}
}

// A commit whose outcome is not known is tried again: the text must not have a checkpoint twice.
func TestCheckpointOfUnknownOutcomeIsAddedOnce(t *testing.T) {
	const total = 6
	f := newFixture(t, 1)
	f.config.checkpointInterval = 0
	f.replica.unclear = 3
	f.start()
	job := testJob(testKey(1), 1, total)
	f.submit(job)
	checkCompleted(t, f.results(job.Key, 1)[0], total)
}

// What a runner appends must not be committed after the next runner has begun.
func TestRunnerEndsAfterItsLastAppend(t *testing.T) {
	f := newFixture(t, 1)
	f.config.checkpointInterval = 0
	f.backends[0].beforeEvent = func(r *http.Request, id int) bool {
		if id > 1 {
			<-r.Context().Done()
		}
		return id == 1
	}
	var stopped, overtaken atomic.Bool
	appending, appended := make(chan struct{}), make(chan struct{})
	f.replica.beforeAppend = func(ctx context.Context) {
		defer close(appended)
		close(appending)
		<-ctx.Done()
		deadline := time.NewTimer(100 * time.Millisecond)
		defer deadline.Stop()
		look := time.NewTicker(time.Millisecond)
		defer look.Stop()
		for !stopped.Load() {
			select {
			case <-look.C:
			case <-deadline.C:
				return
			}
		}
		overtaken.Store(true)
	}
	f.submit(testJob(testKey(1), 1, 5))
	f.start()
	<-appending
	f.stop()
	stopped.Store(true)
	<-appended
	if overtaken.Load() {
		t.Error("the runner has ended while its checkpoint was being appended")
	}
}
