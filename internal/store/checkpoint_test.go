package store

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/forward"
)

// keptEvents is how many events of the text of a job's first item the checkpoints hold.
func (f *fixture) keptEvents(key batch.Key) (events uint32) {
	f.partition.state.read(func(m *batch.Machine) {
		if open, ok := m.PendingJob(key); ok {
			events = open.Items[0].Events
		}
	})
	return events
}

// The head ends in the middle of an item's text. Its successor has to go on behind the last checkpoint, wherever that is.
func TestNextHeadContinuesBehindTheCheckpoint(t *testing.T) {
	const total = 9
	for stop := 1; stop < total; stop++ {
		f := newFixture(t, 1)
		f.config.checkpointInterval = 0
		var former atomic.Bool
		former.Store(true)
		f.backends[0].beforeEvent = func(r *http.Request, id int) bool {
			if former.Load() && id > stop {
				<-r.Context().Done() // hangs until the head lets go
				return false
			}
			return true
		}
		job := testJob(testKey(1), 1, total)
		f.submit(job)
		f.start()
		f.eventually("the text is kept up to where it hangs", func() bool { return f.keptEvents(job.Key) == uint32(stop) })
		f.stop()
		former.Store(false)
		f.start()
		result := f.results(job.Key, 1)[0]
		if result.State != batch.Completed || string(result.Content) != wantText(result.Identifier, total) {
			t.Errorf("stopped behind event %d: state %d, %q", stop, result.State, result.Content)
		}
		runs := f.backends[0].seen()
		last := runs[len(runs)-1].Header.Get(forward.HeaderLastEventID)
		if want := string(rune('0' + stop)); last != want {
			t.Errorf("the next head continues behind event %q, want %s", last, want)
		}
	}
}

// A commit whose fate is not known is tried again: the text must not have a piece twice.
func TestCheckpointOfUnknownFateIsAppendedOnce(t *testing.T) {
	const total = 6
	f := newFixture(t, 1)
	f.config.checkpointInterval = 0
	f.replica.unclear = 3
	f.start()
	job := testJob(testKey(1), 1, total)
	f.submit(job)
	result := f.results(job.Key, 1)[0]
	if string(result.Content) != wantText(result.Identifier, total) {
		t.Errorf("%q", result.Content)
	}
}

// What a runner has under way to be appended must not be committed after its successor has begun.
func TestRunnerEndsBehindItsLastAppend(t *testing.T) {
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
		t.Error("the runner has ended while its checkpoint is being appended")
	}
}
