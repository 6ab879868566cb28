package forward

import (
	"bytes"

	"nickelline/internal/upstream"
)

// remainingWrite writes the part of a request that the connection did not accept at once, in a goroutine of its own, while the
// response is already being read: a backend may respond before it has read a long body. The goroutine ends at the latest at
// the deadline of the connection, or when the connection is closed.
type remainingWrite struct {
	done chan struct{}
	err  error // set before done is closed
}

// startRemainingWrite starts to write the bytes of the buffer from the given position on. It takes over the buffer.
func startRemainingWrite(conn *upstream.Conn, buffer *bytes.Buffer, from int) *remainingWrite {
	w := &remainingWrite{done: make(chan struct{})}
	go func() {
		_, w.err = conn.Write(buffer.Bytes()[from:])
		putBuffer(buffer)
		close(w.done)
	}()
	return w
}

// finished reports whether the write has ended.
func (w *remainingWrite) finished() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// wait blocks until the write has ended, and returns its error.
func (w *remainingWrite) wait() error {
	<-w.done
	return w.err
}

// writeHead writes the request as far as the connection accepts it without waiting, but at least its head, and returns how
// many bytes were written.
func writeHead(conn *upstream.Conn, request []byte, headLength int) (int, error) {
	written, err := conn.WriteAvailable(request)
	if err != nil || written >= headLength {
		return written, err
	}
	n, err := conn.Write(request[written:headLength])
	return written + n, err
}
