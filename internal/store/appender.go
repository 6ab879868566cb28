package store

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/batch"
	"nickelline/internal/pause"
)

const (
	// appendWindow is how long results are collected before they are appended together.
	appendWindow = 60 * time.Millisecond
	// maxAppendBytes bounds the total size of the contents in one command. A single larger result is still appended.
	maxAppendBytes = 1 << 20
	// appendRetryPause is the pause after a failed append.
	appendRetryPause = 100 * time.Millisecond
)

// appender commits results and checkpoints in batches: those added within a window, or while an append is in progress, are appended
// together. It retries until they are committed or its context ends. A retry is safe when the outcome of an append is unknown: an
// item is listed once, and a checkpoint is added once, however often they are appended.
//
// Results and checkpoints continue the checkpoints that the runner has read, and the state machine drops all checkpoints after the
// one that is continued. They are therefore appended in the runner's term only: later, they would remove the checkpoints that
// another head has appended in the meantime.
//
// add starts a goroutine if none is running. The goroutine ends with the context or when nothing is pending; close waits for it.
type appender struct {
	partition *partition
	term      uint64 // of the runner
	log       *zap.Logger
	mutex     sync.Mutex
	pending   []batch.Result
	working   bool          // the goroutine is running
	ended     chan struct{} // closed when the last started goroutine has ended
	closed    bool
}

// add adds a result or a checkpoint to the pending ones. It does not block. After close it does nothing.
func (a *appender) add(ctx context.Context, r batch.Result) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.closed {
		return
	}
	a.pending = append(a.pending, r)
	if !a.working {
		a.working = true
		a.ended = make(chan struct{})
		go a.work(ctx, a.ended)
	}
}

// close returns once nothing more will be appended, which is soon after the context has ended. If it did not wait, a checkpoint
// could be committed after the next runner of the partition has read the number of events of each text and continued from there.
func (a *appender) close() {
	a.mutex.Lock()
	a.closed = true
	ended := a.ended
	a.mutex.Unlock()
	if ended != nil {
		<-ended
	}
}

func (a *appender) work(ctx context.Context, ended chan struct{}) {
	defer close(ended)
	for ctx.Err() == nil {
		pause.For(ctx, appendWindow)
		results := a.takeBatch()
		if len(results) == 0 {
			return
		}
		a.append(ctx, results)
	}
}

// append retries until the results are committed or the context ends, which happens soon after the end of the term.
func (a *appender) append(ctx context.Context, results []batch.Result) {
	for ctx.Err() == nil {
		_, err := a.partition.proposeInTerm(ctx, a.term, &batch.Command{Append: results})
		if err == nil {
			return
		}
		a.log.Debug("append results failed", zap.Uint32("partition", a.partition.number),
			zap.Int("results", len(results)), zap.Error(err))
		pause.For(ctx, appendRetryPause)
	}
}

// takeBatch removes and returns the results to append next. If there are none, it records that the goroutine ends.
func (a *appender) takeBatch() []batch.Result {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	count := a.batchSize()
	results := a.pending[:count:count]
	a.pending = a.pending[count:]
	if count == 0 {
		a.pending = nil
		a.working = false
	}
	return results
}

// batchSize returns how many of the pending results go into one command: at least one if there are any.
func (a *appender) batchSize() int {
	bytes := 0
	for i, result := range a.pending {
		bytes += len(result.Content)
		if i > 0 && bytes > maxAppendBytes {
			return i
		}
	}
	return len(a.pending)
}
