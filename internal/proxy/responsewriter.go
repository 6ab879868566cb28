package proxy

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/forward"
)

const (
	// defaultRetryAfter is the Retry-After that a client gets if no better estimate is known.
	defaultRetryAfter = 100 * time.Millisecond
	// retryJitter is the maximum fraction by which a Retry-After is lengthened or shortened at random.
	retryJitter = 0.25
	// minRetryAfter keeps clients from retrying before anything has changed.
	minRetryAfter = 10 * time.Millisecond
	// maxPooledBufferBytes is the capacity of the largest buffer that is reused for another response.
	maxPooledBufferBytes = 64 << 10

	lineEnd   = "\r\n"
	lastChunk = "0\r\n\r\n"
)

var responseBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// responseWriter writes the one response to a request, each part of it with one system call. It replaces hertz's response.
type responseWriter struct {
	conn      *clientConn
	draining  *atomic.Bool
	onError   func(fault.Kind) // nil: errors are not counted
	attemptID string
	// omitBody is set for a HEAD request, whose response has no body.
	omitBody bool
	// closeConnection is set if the connection is closed after the response.
	closeConnection bool
	started         bool
	finished        bool
	err             error
	pending         *bytes.Buffer
}

// write writes a complete response.
func (w *responseWriter) write(status int, header http.Header, body []byte) {
	b := responseBuffers.Get().(*bytes.Buffer)
	w.appendHead(b, status, header)
	if status != http.StatusNoContent && status != http.StatusNotModified {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(body)))
		b.WriteString(lineEnd)
	}
	b.WriteString(lineEnd)
	if !w.omitBody {
		b.Write(body)
	}
	_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // an error also fails the next write
	w.flush(b)
	w.finished = w.err == nil
}

// writeJSON writes a complete response with a JSON body.
func (w *responseWriter) writeJSON(status int, body []byte) {
	w.write(status, http.Header{"Content-Type": {"application/json"}}, body)
}

// beginStream prepares the head of a streaming response, which is written together with the first events.
func (w *responseWriter) beginStream(status int, header http.Header, deadline time.Time) {
	w.started = true
	w.pending = responseBuffers.Get().(*bytes.Buffer)
	w.appendHead(w.pending, status, header)
	w.pending.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	_ = w.conn.SetWriteDeadline(deadline) // an error also fails the next write
}

// writeEvents writes further events of a stream.
func (w *responseWriter) writeEvents(events []byte) {
	b := w.takePending()
	appendChunk(b, events)
	w.flush(b)
}

// endStream writes the last events of a complete stream and the terminating chunk.
func (w *responseWriter) endStream(events []byte) {
	b := w.takePending()
	appendChunk(b, events)
	b.WriteString(lastChunk)
	w.flush(b)
	w.finished = w.err == nil
}

// takePending returns the buffer with the head of the stream if that is not written yet, and an empty buffer otherwise.
func (w *responseWriter) takePending() *bytes.Buffer {
	b := w.pending
	w.pending = nil
	if b == nil {
		b = responseBuffers.Get().(*bytes.Buffer)
	}
	return b
}

// appendChunk appends data in chunked transfer coding.
func appendChunk(b *bytes.Buffer, data []byte) {
	if len(data) == 0 {
		return
	}
	var size [16]byte
	b.Write(strconv.AppendInt(size[:0], int64(len(data)), 16))
	b.WriteString(lineEnd)
	b.Write(data)
	b.WriteString(lineEnd)
}

// appendHead appends the status line and the header fields, except those for the length of the body.
func (w *responseWriter) appendHead(b *bytes.Buffer, status int, header http.Header) {
	if w.draining.Load() {
		w.closeConnection = true
	}
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(status))
	b.WriteString(lineEnd)
	for name, values := range header {
		for _, value := range values {
			appendField(b, name, value)
		}
	}
	if w.attemptID != "" && len(header[forward.HeaderAttemptID]) == 0 {
		appendField(b, forward.HeaderAttemptID, w.attemptID)
	}
	if w.closeConnection {
		appendField(b, "Connection", "close")
	}
}

func appendField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString(lineEnd)
}

// flush writes a part of the response to the connection and returns the buffer to the pool. After an error it writes
// nothing.
func (w *responseWriter) flush(b *bytes.Buffer) {
	w.started = true
	if w.err == nil {
		_, w.err = w.conn.TCPConn.Write(b.Bytes())
	}
	if b.Cap() <= maxPooledBufferBytes {
		b.Reset()
		responseBuffers.Put(b)
	}
}

// Write discards p: hertz has nothing to write, because responses are written to the connection directly.
func (w *responseWriter) Write(p []byte) (int, error) { return len(p), nil }

// Flush does nothing: each part of a response is written immediately.
func (w *responseWriter) Flush() error { return nil }

// Finalize does nothing: server.endRequest closes the connection of an unfinished response.
func (w *responseWriter) Finalize() error { return nil }
