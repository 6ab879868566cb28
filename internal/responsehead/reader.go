package responsehead

import (
	"io"
	"sync/atomic"
)

// Reader reads from a connection, and checks the heads of the responses on it. Its methods may be called concurrently with Read,
// but Read must not be called concurrently with itself.
type Reader struct {
	source   io.Reader
	checker  Checker
	expected atomic.Bool
	err      error // of the malformed head that was read; nothing is read after it
}

// NewReader returns a reader of a connection. It checks nothing until ExpectResponse is called.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// ExpectResponse makes the next byte that is read the first one of a response. It is called before each request is written, when
// the response to the one before has been read.
func (r *Reader) ExpectResponse() { r.expected.Store(true) }

// HasBegun reports whether any byte was read since ExpectResponse was last called.
func (r *Reader) HasBegun() bool { return !r.expected.Load() }

// Read reads from the connection. When it has read a malformed line of a head, it withholds that line, and returns a *MalformedError,
// as all later calls do.
func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.source.Read(p)
	if n > 0 && r.expected.Swap(false) {
		r.checker.Begin()
	}
	valid, malformed := r.checker.Check(p[:n])
	if malformed != nil {
		r.err = malformed
		return valid, malformed
	}
	return n, err
}
