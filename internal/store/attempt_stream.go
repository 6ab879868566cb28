package store

import (
	"io"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/batch/deflated"
	"nickelline/internal/forward"
)

// readStream adds the events of a response to the item's text, up to the stream's end. Where none is at hand it waits for the
// next tick of the pacer.
func (a *attempt) readStream(response *forward.Response) attemptResult {
	for {
		event, err := response.Next()
		switch {
		// Next returns io.EOF itself at a proper end. A Failure may wrap it as well, so errors.Is would take a stream that broke off
		// for a whole one.
		case err == io.EOF: //nolint:errorlint // see above
			return a.streamEnded(response)
		case err != nil:
			return a.streamFailed(err, response)
		case !a.item.Text.Add(&event):
			return a.failed(&forward.Failure{Outcome: forward.MayHaveRun, Load: response.Load})
		}
		now := time.Now()
		a.noteEvent(now)
		a.checkpoint(now)
		if !response.Ready() {
			a.runner.config.pacer.Wait(a.ctx)
		}
	}
}

// noteEvent notes that an event has come. With the first one the backend may have capacity for another item.
func (a *attempt) noteEvent(now time.Time) {
	a.lastEvent.Store(int64(now.Sub(a.began)))
	a.item.MadeProgress()
	if a.hasStarted.Load() {
		return
	}
	a.checkpointed = now
	a.hasStarted.Store(true)
	a.permit.Started(now)
	a.runner.config.retryQueue.Offer(a.item.Job.Pending.Route)
}

// checkpoint has the text replicated that has come since the last checkpoint, from time to time, so that another head continues
// behind it.
func (a *attempt) checkpoint(now time.Time) {
	if now.Sub(a.checkpointed) < a.runner.config.checkpointInterval {
		return
	}
	a.checkpointed = now
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
