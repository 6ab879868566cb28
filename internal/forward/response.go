package forward

import (
	"io"
	"math"
	"net/http"

	"nickelline/internal/admission"
)

// Response is the response of a backend that ran the request, whatever its status. The caller must read it to its end, with
// ReadAll or with Next until an error, or close it.
type Response struct {
	Status int
	// Header holds the end-to-end header fields of the response.
	Header http.Header
	// Load is the load that the backend reported, or nil if it reported none.
	Load *admission.Load
	// Streaming reports whether the response is a stream of events. It is read with Next if so, else with ReadAll.
	Streaming bool

	body *body
}

// Event is one event of a stream.
type Event struct {
	// ID is the value of the id field, or empty if the event has none.
	ID string
	// Raw holds the bytes of the event with the blank line that ends it. It is valid until the next call of Next.
	Raw []byte
	// Data holds the values of the data fields, joined by line feeds. It is valid until the next call of Next.
	Data []byte
}

// Next returns the next whole event of a stream. It returns io.EOF after the last event of a stream that ended properly, and
// a *Failure if the stream ended in any other way. Bytes after the last event of a stream that ended properly are returned
// as an event of their own.
func (r *Response) Next() (Event, error) {
	r.body.roundTrip.conn.SetReadLimit(math.MaxInt64)
	event, err := r.body.events.next()
	if err == nil {
		return event, nil
	}
	if err == io.EOF { //nolint:errorlint // the end is an unwrapped io.EOF; a wrapped one is a failure
		r.body.complete()
		return Event{}, io.EOF
	}
	return Event{}, r.body.fail(err)
}

// Ready reports whether Next will return without waiting, because a whole event or the end has arrived.
func (r *Response) Ready() bool { return r.body.events.ready() }

// ReadAll reads the body of a response that is not a stream. Its error is a *Failure.
func (r *Response) ReadAll() ([]byte, error) {
	data, err := r.body.readAll()
	if err != nil {
		return nil, r.body.fail(err)
	}
	r.body.complete()
	return data, nil
}

// Close ends reading. If the response has not been read to its end, Close closes the connection, which stops the backend's
// work.
func (r *Response) Close() { r.body.abandon() }
