package store

import (
	"io"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/batch/deflated"
	"nickelline/internal/forward"
)

// readStream adds the events of a response to the item's text until the stream ends. When no event is buffered, it waits for the
// next tick of the pacer.
func (a *attempt) readStream(response *forward.Response) attemptResult {
	for {
		event, err := response.Next()
		switch {
		// Next returns io.EOF itself at a proper end. A Failure may wrap it as well, so errors.Is would take a truncated stream for
		// a complete one.
		case err == io.EOF: //nolint:errorlint // see above
			return a.streamEnded(response)
		case err != nil:
			return a.streamFailed(err, response)
		case !a.item.Text.Add(&event):
			return a.failed(&forward.Failure{Outcome: forward.MayHaveRun, Load: response.Load})
		}
		now := time.Now()
		a.recordEvent(now)
		a.checkpoint(now)
		if !response.Ready() {
			a.runner.config.pacer.Wait(a.ctx)
		}
	}
}

// recordEvent records that an event has arrived. After the first one the backend may have capacity for another item.
func (a *attempt) recordEvent(now time.Time) {
	a.lastEventOffset.Store(int64(now.Sub(a.startTime)))
	a.item.MadeProgress()
	if a.hasFirstEvent.Load() {
		return
	}
	a.lastCheckpoint = now
	a.hasFirstEvent.Store(true)
	a.permit.Started(now)
	a.runner.config.retryQueue.Offer(a.item.Job.Pending.Route.Name)
}

// checkpoint replicates the text received since the last checkpoint, once the checkpoint interval has passed, so that another head
// can continue after it.
func (a *attempt) checkpoint(now time.Time) {
	if now.Sub(a.lastCheckpoint) < a.runner.config.checkpointInterval {
		return
	}
	a.lastCheckpoint = now
	taken, ok := a.item.Text.TakeCheckpoint()
	if !ok {
		return
	}
	a.runner.appender.add(a.runnerContext, batch.Result{
		Key:       a.item.Job.Pending.Key,
		Index:     a.item.Pending.Index,
		Content:   deflated.Compress(taken.Content),
		From:      taken.PreviousEvents,
		Events:    taken.Events,
		LastEvent: taken.LastEventID,
	})
}
