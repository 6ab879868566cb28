package proxy

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/forward"
	"nickelline/internal/quota"
)

const (
	// retryAfter is what a client is told where nobody knows better.
	defaultRetryAfter = 100 * time.Millisecond
	// retrySpread is the part of a time to retry by which it is made longer or shorter at random.
	retryJitter = 0.25
	// leastRetryAfter keeps clients from coming back before anything has changed.
	minRetryAfter   = 10 * time.Millisecond
	maxPooledBuffer = 64 << 10

	lineEnd   = "\r\n"
	lastChunk = "0\r\n\r\n"
)

var responseBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// answerWriter writes the one answer to a request, and each part of it in one go. Hertz's own answer is not used.
type responseWriter struct {
	conn      *clientConn
	draining  *atomic.Bool
	onError   func(fault.Kind) // nil: errors are not counted
	attemptID string
	// bodiless answers have no body: those to HEAD.
	omitBody bool
	// closing: the connection is closed behind the answer.
	closeConnection bool
	started         bool
	finished        bool
	err             error
	pending         *bytes.Buffer
}

// whole writes a whole answer.
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
	w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.flush(b)
	w.finished = w.err == nil
}

func (w *responseWriter) writeJSON(status int, body []byte) {
	w.write(status, http.Header{"Content-Type": {"application/json"}}, body)
}

// fault writes the answer to an error.
func (w *responseWriter) writeError(err error) {
	kind := fault.KindOf(err)
	if w.onError != nil {
		w.onError(kind)
	}
	answer := fault.AnswerOf(kind)
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if answer.Status == http.StatusTooManyRequests || answer.Status == http.StatusServiceUnavailable {
		header["Retry-After"] = []string{formatRetryAfter(retryAfter(err))}
	}
	w.write(answer.Status, header, []byte(http.StatusText(answer.Status)))
}

// faultIfUnbegun answers an error unless an answer has begun, which is then cut.
func (w *responseWriter) writeErrorIfNotStarted(err error) {
	if !w.started {
		w.writeError(err)
	}
}

// retryError is an error that tells when a new try has good prospects.
type retryAfterError struct {
	error
	after time.Duration
}

// Unwrap gives the error itself.
func (e *retryAfterError) Unwrap() error { return e.error }

// retryAfterOf gives the time that an error tells, or a default.
func retryAfter(err error) time.Duration {
	var told *retryAfterError
	if errors.As(err, &told) && told.after > 0 {
		return told.after
	}
	if after := quota.RetryAfter(err); after > 0 {
		return after
	}
	return defaultRetryAfter
}

// formatRetryAfter gives a time in seconds, made longer or shorter at random so that clients do not come back together.
func formatRetryAfter(after time.Duration) string {
	spread := 1 + retryJitter*(2*rand.Float64()-1)
	after = max(time.Duration(float64(after)*spread), minRetryAfter)
	return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
}

// beginStream prepares the head of a stream, which is written with the first events.
func (w *responseWriter) beginStream(status int, header http.Header, deadline time.Time) {
	w.started = true
	w.pending = responseBuffers.Get().(*bytes.Buffer)
	w.appendHead(w.pending, status, header)
	w.pending.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	w.conn.SetWriteDeadline(deadline)
}

// events writes more of a stream.
func (w *responseWriter) writeEvents(events []byte) {
	b := w.takePending()
	appendChunk(b, events)
	w.flush(b)
}

// endStream writes the last events of a stream that is whole, and its end.
func (w *responseWriter) endStream(events []byte) {
	b := w.takePending()
	appendChunk(b, events)
	b.WriteString(lastChunk)
	w.flush(b)
	w.finished = w.err == nil
}

// takePending gives the head of a stream that was not written yet, or an empty buffer.
func (w *responseWriter) takePending() *bytes.Buffer {
	b := w.pending
	w.pending = nil
	if b == nil {
		b = responseBuffers.Get().(*bytes.Buffer)
	}
	return b
}

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

// head writes the status line and the fields, but for those that tell how long the body is.
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

// flush writes a part of the answer to the connection.
func (w *responseWriter) flush(b *bytes.Buffer) {
	w.started = true
	if w.err == nil {
		_, w.err = w.conn.TCPConn.Write(b.Bytes())
	}
	if b.Cap() <= maxPooledBuffer {
		b.Reset()
		responseBuffers.Put(b)
	}
}

// Write is not used: hertz has nothing to write.
func (w *responseWriter) Write(p []byte) (int, error) { return len(p), nil }

// Flush has nothing to do: all is written at once.
func (w *responseWriter) Flush() error { return nil }

// Finalize has nothing to do: what is unfinished ends with its connection.
func (w *responseWriter) Finalize() error { return nil }
