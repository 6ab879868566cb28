package forward

import (
	"io"
	"math"
	"net/http"

	"nickelline/internal/admission"
)

// Response is the answer of a backend that ran the request, whatever its status. The caller must read it to its end, with
// ReadAll or with Next until an error, or close it.
type Response struct {
	Status int
	// Header holds the end-to-end fields of the answer.
	Header http.Header
	// Load is what the backend reported of itself; nil: nothing.
	Load *admission.Load
	// Streaming answers are read with Next, others with ReadAll.
	Streaming bool

	body *body
}

// Event is one event of a stream.
type Event struct {
	// ID is the value of its id field; empty: it has none.
	ID string
	// Raw holds the bytes of the event with the blank line that ends it. It is valid until the next call of Next.
	Raw []byte
	// Data holds the values of its data fields, joined by line feeds. It is valid until the next call of Next.
	Data []byte
}

// Next returns the next whole event of a stream. It returns io.EOF after the last event of a stream that ended properly, and
// a *Failure if the stream broke off. Bytes after the last event of a stream that ended properly are an event of their own.
func (r *Response) Next() (Event, error) {
	r.body.roundTrip.conn.SetReadLimit(math.MaxInt64)
	event, err := r.body.events.next()
	if err == nil {
		return event, nil
	}
	if err == io.EOF { //nolint:errorlint // the end is io.EOF itself; a wrapped one is a failure
		r.body.complete()
		return Event{}, io.EOF
	}
	return Event{}, r.body.fail(err)
}

// Ready reports whether Next will return without waiting: a whole event has come, or the end.
func (r *Response) Ready() bool { return r.body.events.ready() }

// ReadAll reads the body of an answer that is not a stream. Its error is a *Failure.
func (r *Response) ReadAll() ([]byte, error) {
	data, err := r.body.readAll()
	if err != nil {
		return nil, r.body.fail(err)
	}
	r.body.complete()
	return data, nil
}

// Close ends the reading. If the answer has not ended, it closes the connection, which stops the backend's work.
func (r *Response) Close() { r.body.abandon() }
