package forward

import (
	"io"
	"math"
	"net/http"
)

const (
	// answerLimit bounds the body of an answer that is read whole.
	answerLimit = 32 << 20
	// framing is what the chunks of a body and its trailer may take besides the data.
	framingAllowance = 1 << 20
	// drainLimit bounds the body of an answer that is thrown away to keep its connection.
	drainLimit = 16 << 10
)

// body reads the body of an answer, and gives the connection back at its end.
type body struct {
	exchange *exchange
	source   io.ReadCloser
	// length of the body; -1: not told.
	length int64
	// ends tells whether the body's own end can be known, other than by the end of the connection.
	framed bool
	// reusable tells whether the backend keeps the connection.
	reusable bool
	done     bool
	events   eventReader
}

func newBody(x *exchange, head *http.Response) *body {
	b := &body{
		exchange: x,
		source:   head.Body,
		length:   head.ContentLength,
		framed:   head.ContentLength >= 0 || len(head.TransferEncoding) > 0,
		reusable: !head.Close,
	}
	if head.Body == http.NoBody { // also where the head tells the length of a body that is not sent
		b.length, b.framed = 0, true
	}
	b.events.source = b
	return b
}

// Read reads from the body. The end of the connection is not an end of the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err == io.EOF && !b.framed {
		err = errNoEnd
	}
	return n, err
}

// finish gives the connection back behind the end of the body.
func (b *body) complete() {
	if b.done {
		return
	}
	b.done = true
	b.exchange.release(b.reusable)
	b.events.release()
}

// fail closes the connection over an error.
func (b *body) fail(err error) *Failure {
	if b.done {
		return &Failure{Outcome: MayHaveRun, Err: err}
	}
	b.done = true
	b.events.release()
	return b.exchange.breakOff(err)
}

// drain reads a short body that nobody needs, so that its connection can be used again.
func (b *body) drain() {
	if b.length < 0 || b.length > drainLimit {
		b.abandon()
		return
	}
	b.exchange.conn.SetReadLimit(drainLimit)
	if _, err := io.CopyN(io.Discard, b, b.length); err != nil {
		b.abandon()
		return
	}
	b.complete()
}

// abandon closes the connection, which stops the backend's work.
func (b *body) abandon() {
	if b.done {
		return
	}
	b.done = true
	b.exchange.release(false)
	b.events.release()
}

// Next gives the next whole event of a stream. It returns io.EOF behind the last event of a stream that ended properly,
// and a *Failure if the stream broke off. Bytes behind the last event of a stream that ended properly are given as an
// event of their own.
func (r *Response) Next() (Event, error) {
	r.body.exchange.conn.SetReadLimit(math.MaxInt64)
	event, err := r.body.events.next()
	switch {
	case err == nil:
		return event, nil
	case err == io.EOF:
		r.body.complete()
		return Event{}, io.EOF
	default:
		return Event{}, r.body.fail(err)
	}
}

// Ready tells whether Next will return without waiting: a whole event has come, or the end.
func (r *Response) Ready() bool { return r.body.events.ready() }

// ReadAll reads the body of an answer that is no stream. Its error is a *Failure.
func (r *Response) ReadAll() ([]byte, error) {
	data, err := r.body.readAll()
	if err != nil {
		return nil, r.body.fail(err)
	}
	r.body.complete()
	return data, nil
}

func (b *body) readAll() ([]byte, error) {
	if b.length > answerLimit {
		return nil, errTooLarge
	}
	b.exchange.conn.SetReadLimit(answerLimit + framingAllowance)
	if b.length >= 0 {
		data := make([]byte, b.length)
		_, err := io.ReadFull(b, data)
		return data, err
	}
	data, err := io.ReadAll(io.LimitReader(b, answerLimit+1))
	if err == nil && len(data) > answerLimit {
		err = errTooLarge
	}
	return data, err
}

// Close ends the reading. If the answer has not ended, its connection is closed, which stops the backend's work.
func (r *Response) Close() { r.body.abandon() }
