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

// maxEventBatch is the number of bytes of events from which on they are written, however many more have come.
const maxEventBatch = 32 << 10

var errUnsealedStream = errors.New("the stream carries no seal of the backend")

// stream passes a stream on, event by event. It reports whether that was the end; if not, the stream broke off, and may be
// continued at another backend after the last event that was delivered.
func (e *exchange) stream(ctx context.Context, a *attempt, w *responseWriter) bool {
	defer a.response.Close()
	if a.response.Header.Get(forward.HeaderResponseSeal) == "" {
		e.recordBreakOff(a, errUnsealedStream)
		return false
	}
	e.resumedAfter = e.request.LastEventID
	var events []byte
	for {
		var err error
		events, err = e.nextEvents(a.response, events[:0])
		ended := err == io.EOF //nolint:errorlint // the end is io.EOF itself; a Failure may wrap one
		e.beginAnswer(a, w, len(events) > 0 || ended)
		switch {
		case ended:
			e.executed++
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
			e.recordBreakOff(a, err)
			return ctx.Err() != nil || w.started && e.request.LastEventID == ""
		}
	}
}

// beginAnswer begins the answer once there is something to deliver. The head of the first backend is that of the whole answer.
func (e *exchange) beginAnswer(a *attempt, w *responseWriter, hasContent bool) {
	if !hasContent || a.started {
		return
	}
	a.started = true
	a.ticket.Started(time.Now())
	if !w.started {
		w.beginStream(a.response.Status, a.response.Header, e.request.Deadline.Add(writeTimeout))
	}
}

// nextEvents waits for the next event, and returns it with those that have come as well. Events that were delivered before
// are left out.
func (e *exchange) nextEvents(r *forward.Response, events []byte) ([]byte, error) {
	for {
		event, err := r.Next()
		if err != nil {
			return events, err
		}
		if !e.isRepeated(event.ID) {
			events = append(events, event.Raw...)
			if event.ID != "" || len(event.Data) > 0 { // a stream cannot be continued after data without an id
				e.request.LastEventID = event.ID
			}
		}
		if !r.Ready() && len(events) > 0 || len(events) >= maxEventBatch {
			return events, nil
		}
	}
}

// isRepeated reports whether an event of a continued stream was delivered before. Ids rise.
func (e *exchange) isRepeated(id string) bool {
	last, err := strconv.ParseInt(e.resumedAfter, 10, 64)
	if err != nil {
		return false
	}
	this, err := strconv.ParseInt(id, 10, 64)
	return err == nil && this <= last
}
