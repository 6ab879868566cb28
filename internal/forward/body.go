package forward

import (
	"io"
	"net/http"
)

const (
	// maxBodyBytes bounds the body of a response that is read as a whole.
	maxBodyBytes = 32 << 20
	// maxFramingBytes bounds the chunk headers and the trailer of a body, in addition to its data.
	maxFramingBytes = 1 << 20
	// maxDrainBytes bounds the body of a response that is read and discarded so that its connection can be kept.
	maxDrainBytes = 16 << 10
)

// body reads the body of a response, and releases the connection at its end.
type body struct {
	roundTrip *roundTrip
	source    io.ReadCloser
	// length is the length of the body in bytes, or -1 if it is not known.
	length int64
	// framed means that a length or chunks mark the end of the body, not only the end of the connection.
	framed bool
	// reusable means that the backend keeps the connection open after the response.
	reusable bool
	// done means that the connection has been released.
	done   bool
	events eventReader
}

func newBody(rt *roundTrip, head *http.Response) *body {
	b := &body{
		roundTrip: rt,
		source:    head.Body,
		length:    head.ContentLength,
		framed:    head.ContentLength >= 0 || len(head.TransferEncoding) > 0,
		reusable:  !head.Close,
	}
	if head.Body == http.NoBody { // also if the header states the length of a body that is not sent
		b.length, b.framed = 0, true
	}
	b.events.source = b
	return b
}

// Read reads from the body. If only the end of the connection marks the end of the body, Read returns errUndelimited instead
// of io.EOF, because the body may have been cut short.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err == io.EOF && !b.framed {
		err = errUndelimited
	}
	return n, err
}

// complete releases the connection after the end of the body, for reuse if the backend keeps it open.
func (b *body) complete() {
	if b.done {
		return
	}
	b.done = true
	b.roundTrip.release(b.reusable)
	b.events.release()
}

// fail closes the connection because of a read error, and returns the error as a Failure.
func (b *body) fail(err error) *Failure {
	if b.done {
		return &Failure{Backend: b.roundTrip.backendID, Outcome: MayHaveRun, Err: err}
	}
	b.done = true
	b.events.release()
	return b.roundTrip.abort(err)
}

// drain reads and discards a short body, so that its connection can be reused. It closes the connection of a longer one.
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
	b.roundTrip.closeConn()
	b.events.release()
}

// readAll reads the whole body, up to maxBodyBytes.
func (b *body) readAll() ([]byte, error) {
	if b.length > maxBodyBytes {
		return nil, errTooLarge
	}
	b.roundTrip.conn.SetReadLimit(maxBodyBytes + maxFramingBytes)
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
