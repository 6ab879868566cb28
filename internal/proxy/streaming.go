package proxy

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"nickelline/internal/admission"
	"nickelline/internal/forward"
)

// maxEventBatchBytes is the size at which collected events are written, even if further events have already arrived.
const maxEventBatchBytes = 32 << 10

var errUnsealedStream = errors.New("stream has no response seal of the backend")

// stream forwards a stream event by event. It reports whether the exchange is finished; if not, the stream was
// interrupted and may be resumed at another backend after the last event that was delivered.
func (e *exchange) stream(ctx context.Context, a *attempt, w *responseWriter) bool {
	defer a.response.Close()
	if a.response.Header.Get(forward.HeaderResponseSeal) == "" {
		e.recordInterruption(a, errUnsealedStream)
		return false
	}
	e.resumedAfter = e.request.LastEventID
	var events []byte
	for {
		var err error
		events, err = e.nextEvents(a.response, events[:0])
		ended := err == io.EOF //nolint:errorlint // io.EOF itself is the end; a Failure may wrap io.EOF
		e.beginResponse(a, w, len(events) > 0 || ended)
		switch {
		case ended:
			e.recordExecution()
			a.end(admission.OK)
			e.proxy.counters.delivered.Add(1)
			w.endStream(events)
			return true
		case len(events) > 0:
			w.writeEvents(events)
		}
		switch {
		case w.err != nil:
			a.end(admission.Cancelled)
			return true
		case err != nil:
			e.recordInterruption(a, err)
			return ctx.Err() != nil || w.started && e.request.LastEventID == ""
		}
	}
}

// beginResponse starts the response to the client once there is something to deliver. A stream that several backends
// contribute to has the response head of the first.
func (e *exchange) beginResponse(a *attempt, w *responseWriter, hasContent bool) {
	if !hasContent || a.started {
		return
	}
	a.started = true
	a.ticket.Started(time.Now())
	if !w.started {
		w.beginStream(a.response.Status, a.response.Header, e.request.Deadline.Add(writeTimeout))
	}
}

// nextEvents waits for the next event, and appends it and those that have already arrived to events. It skips events that
// have been delivered before.
func (e *exchange) nextEvents(r *forward.Response, events []byte) ([]byte, error) {
	for {
		event, err := r.Next()
		if err != nil {
			return events, err
		}
		if !e.isRepeated(event.ID) {
			events = append(events, event.Raw...)
			if event.ID != "" || len(event.Data) > 0 { // a stream cannot be resumed after data without an id
				e.request.LastEventID = event.ID
			}
		}
		if !r.Ready() && len(events) > 0 || len(events) >= maxEventBatchBytes {
			return events, nil
		}
	}
}

// isRepeated reports whether an event of a resumed stream has been delivered before. Ids increase within a stream.
func (e *exchange) isRepeated(id string) bool {
	last, err := strconv.ParseInt(e.resumedAfter, 10, 64)
	if err != nil {
		return false
	}
	this, err := strconv.ParseInt(id, 10, 64)
	return err == nil && this <= last
}
