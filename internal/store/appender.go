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
	// maxPendingBytes is the total size of pending contents from which no further item is sent: a disk that fails, or a chain that is not
	// connected, must not use up the memory.
	maxPendingBytes = 4 << 20
)

// appender commits results, checkpoints and failures in batches: those added within a window, or while an append is in progress, are
// appended together. It retries until they are committed or its context ends. A retry is safe when the outcome of an append is unknown: an
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
	bytes     int // total size of the contents that are pending or being appended
	failures  []batch.Failure
	recorded  chan struct{} // closed once the failures are committed
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
	a.bytes += len(r.Content)
	a.start(ctx)
}

// isBehind reports whether so much is to be committed that no further items should be sent.
func (a *appender) isBehind() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.bytes >= maxPendingBytes
}

// appended records that the contents of results are no longer pending.
func (a *appender) appended(results []batch.Result) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for i := range results {
		a.bytes -= len(results[i].Content)
	}
}

// recordFailure commits a failure, and reports whether it is committed. It waits for that until the context ends.
func (a *appender) recordFailure(ctx context.Context, f batch.Failure) bool {
	recorded := a.addFailure(ctx, f)
	if recorded == nil {
		return false
	}
	select {
	case <-recorded:
		return true
	case <-ctx.Done():
		return false
	}
}

// addFailure adds a failure to the pending ones, and returns a channel that is closed once it is committed, or nil after close.
func (a *appender) addFailure(ctx context.Context, f batch.Failure) <-chan struct{} {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.closed {
		return nil
	}
	if a.recorded == nil {
		a.recorded = make(chan struct{})
	}
	a.failures = append(a.failures, f)
	a.start(ctx)
	return a.recorded
}

// start starts the goroutine if it is not running. The caller holds the mutex.
func (a *appender) start(ctx context.Context) {
	if a.working {
		return
	}
	a.working = true
	a.ended = make(chan struct{})
	go a.work(ctx, a.ended)
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
		next := a.takeBatch()
		if next.isEmpty() {
			return
		}
		a.commit(ctx, next)
	}
}

// appendBatch is what the appender commits together.
type appendBatch struct {
	results  []batch.Result
	failures []batch.Failure
	recorded chan struct{} // to be closed once the failures are committed
}

func (b *appendBatch) isEmpty() bool { return len(b.results) == 0 && len(b.failures) == 0 }

// commit commits the results and the failures of a batch, each with a command of its own.
func (a *appender) commit(ctx context.Context, b appendBatch) {
	if len(b.results) > 0 {
		a.append(ctx, &batch.Command{Append: b.results})
		a.appended(b.results)
	}
	if len(b.failures) > 0 && a.append(ctx, &batch.Command{Fail: b.failures}) {
		close(b.recorded)
	}
}

// append retries until a command is committed, and reports whether it is. It ends with the context, soon after the end of the term.
func (a *appender) append(ctx context.Context, command *batch.Command) bool {
	for ctx.Err() == nil {
		_, err := a.partition.proposeInTerm(ctx, a.term, command)
		if err == nil {
			return true
		}
		a.log.Debug("append results failed", zap.Uint32("partition", a.partition.number),
			zap.Int("results", len(command.Append)), zap.Int("failures", len(command.Fail)), zap.Error(err))
		pause.For(ctx, appendRetryPause)
	}
	return false
}

// takeBatch removes and returns what is to be committed next. If there is nothing, it records that the goroutine ends.
func (a *appender) takeBatch() appendBatch {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	count := a.batchSize()
	taken := appendBatch{results: a.pending[:count:count], failures: a.failures, recorded: a.recorded}
	a.pending = a.pending[count:]
	a.failures, a.recorded = nil, nil
	if taken.isEmpty() {
		a.pending = nil
		a.working = false
	}
	return taken
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
