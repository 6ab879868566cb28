package forward

import (
	"io"
	"net/http"
)

const (
	// maxBodyBytes bounds the body of an answer that is read whole.
	maxBodyBytes = 32 << 20
	// framingAllowance bounds what the chunks of a body and its trailer take besides the data.
	framingAllowance = 1 << 20
	// maxDrainBytes bounds the body of an answer that is discarded to keep its connection.
	maxDrainBytes = 16 << 10
)

// body reads the body of an answer, and releases the connection at its end.
type body struct {
	roundTrip *roundTrip
	source    io.ReadCloser
	// length of the body in bytes; -1: not known.
	length int64
	// framed: the end of the body can be known other than by the end of the connection.
	framed bool
	// reusable: the backend keeps the connection.
	reusable bool
	done     bool
	events   eventReader
}

func newBody(rt *roundTrip, head *http.Response) *body {
	b := &body{
		roundTrip: rt,
		source:    head.Body,
		length:    head.ContentLength,
		framed:    head.ContentLength >= 0 || len(head.TransferEncoding) > 0,
		reusable:  !head.Close,
	}
	if head.Body == http.NoBody { // also where the head states the length of a body that is not sent
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

// complete releases the connection after the end of the body.
func (b *body) complete() {
	if b.done {
		return
	}
	b.done = true
	b.roundTrip.release(b.reusable)
	b.events.release()
}

// fail closes the connection because of an error.
func (b *body) fail(err error) *Failure {
	if b.done {
		return &Failure{Backend: b.roundTrip.backendID, Outcome: MayHaveRun, Err: err}
	}
	b.done = true
	b.events.release()
	return b.roundTrip.breakOff(err)
}

// drain reads a short body that nobody needs, so that its connection can be used again.
func (b *body) drain() {
	if b.length < 0 || b.length > maxDrainBytes {
		b.abandon()
		return
	}
	b.roundTrip.conn.SetReadLimit(maxDrainBytes)
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
	b.roundTrip.release(false)
	b.events.release()
}

// readAll reads the whole body.
func (b *body) readAll() ([]byte, error) {
	if b.length > maxBodyBytes {
		return nil, errTooLarge
	}
	b.roundTrip.conn.SetReadLimit(maxBodyBytes + framingAllowance)
	if b.length >= 0 {
		data := make([]byte, b.length)
		_, err := io.ReadFull(b, data)
		return data, err
	}
	data, err := io.ReadAll(io.LimitReader(b, maxBodyBytes+1))
	if err == nil && len(data) > maxBodyBytes {
		err = errTooLarge
	}
	return data, err
}
