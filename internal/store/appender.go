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
	// appendWindow is how long results are gathered before they are appended together.
	appendWindow = 60 * time.Millisecond
	// maxAppendBytes bounds the contents of one command.
	maxAppendBytes = 1 << 20
	// appendRetryPause is the pause after a failed append.
	appendRetryPause = 100 * time.Millisecond
)

// appender has results and checkpoints committed in batches: what comes within a window, or while an append is under way, goes
// out together. It tries until they are committed or its context ends. Appending again is safe when the outcome of an append is
// not known: an item is listed once, and a checkpoint added once, however often they are appended.
//
// Results and checkpoints build on the checkpoints that the runner has read, so they are appended in its term only: what another
// head has appended meanwhile would be cut off.
//
// It has a goroutine only while there are results, which add starts, and which ends with the context or when nothing is pending.
// close waits for it.
type appender struct {
	partition *partition
	term      uint64 // of the runner
	log       *zap.Logger
	mutex     sync.Mutex
	pending   []batch.Result
	working   bool          // a goroutine works
	ended     chan struct{} // closed when the last goroutine has ended
	closed    bool
}

// add adds a result or a checkpoint to what is pending. It does not block. After close it does nothing.
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

// close returns once nothing more is appended, which is soon after the context has ended. Without that a checkpoint could be
// committed after the next runner of the partition has read how many events each text has, and has continued there.
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
		results := a.take()
		if len(results) == 0 {
			return
		}
		a.append(ctx, results)
	}
}

// append tries until the results are committed, or the context ends, which it does soon after the term.
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

// take removes and returns the results that are appended next. If there are none the work ends.
func (a *appender) take() []batch.Result {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	count := a.fitting()
	results := a.pending[:count:count]
	a.pending = a.pending[count:]
	if count == 0 {
		a.pending = nil
		a.working = false
	}
	return results
}

// fitting returns how many of the pending results go into one command: one at least, if there is any.
func (a *appender) fitting() int {
	bytes := 0
	for i, result := range a.pending {
		bytes += len(result.Content)
		if i > 0 && bytes > maxAppendBytes {
			return i
		}
	}
	return len(a.pending)
}
