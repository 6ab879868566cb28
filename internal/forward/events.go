package forward

import (
	"bytes"
	"io"
	"sync"
)

const (
	// eventBufferSize is the initial size of the buffers that streams are read into, in bytes.
	eventBufferSize = 4 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 4 << 20
)

var eventBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, eventBufferSize)
	return &b
}}

// eventReader splits a stream into events, each of which ends with an empty line.
type eventReader struct {
	source    io.Reader
	pooled    *[]byte // the buffer from eventBuffers
	buffer    []byte  // the bytes read; those from start on have not been returned
	start     int
	lineStart int    // the start of the first line that is not known to be complete
	joined    []byte // the data lines of the current event, if there are several
	err       error  // of the last read
}

// next returns the next event. It invalidates the previous one.
func (r *eventReader) next() (Event, error) {
	for {
		if end := r.eventEnd(); end > 0 {
			raw := r.buffer[r.start:end]
			r.start = end
			return r.parse(raw), nil
		}
		if r.err != nil {
			return r.remainder()
		}
		r.read()
	}
}

// ready reports whether a whole event, or the end, has been read and not yet returned.
func (r *eventReader) ready() bool { return r.err != nil || r.eventEnd() > 0 }

// eventEnd returns the end of the first event in the buffer, or 0 if the event is not complete.
func (r *eventReader) eventEnd() int {
	r.lineStart = max(r.lineStart, r.start)
	for {
		length := bytes.IndexByte(r.buffer[r.lineStart:], '\n')
		if length < 0 {
			return 0
		}
		line := r.buffer[r.lineStart : r.lineStart+length]
		end := r.lineStart + length + 1
		if len(bytes.TrimSuffix(line, []byte{'\r'})) == 0 {
			return end
		}
		r.lineStart = end
	}
}

// remainder returns the bytes after the last event of a stream that ended properly as an event, and after that io.EOF. If
// the stream did not end properly, it returns the read error.
func (r *eventReader) remainder() (Event, error) {
	properEnd := r.err == io.EOF //nolint:errorlint // a reader returns io.EOF unwrapped
	if !properEnd || r.start == len(r.buffer) {
		return Event{}, r.err
	}
	raw := r.buffer[r.start:]
	r.start = len(r.buffer)
	return r.parse(raw), nil
}

// read reads more bytes into the buffer.
func (r *eventReader) read() {
	r.makeRoom()
	n, err := r.source.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	if err != nil {
		r.err = err
	}
}

// makeRoom moves the bytes not yet returned to the beginning of the buffer, and doubles the buffer if it is full.
func (r *eventReader) makeRoom() {
	if r.pooled == nil {
		r.pooled = eventBuffers.Get().(*[]byte)
		r.buffer = (*r.pooled)[:0]
	}
	if r.start > 0 {
		remaining := copy(r.buffer, r.buffer[r.start:])
		r.buffer = r.buffer[:remaining]
		r.lineStart = max(r.lineStart-r.start, 0)
		r.start = 0
	}
	if len(r.buffer) < cap(r.buffer) {
		return
	}
	if len(r.buffer) >= maxEventBytes {
		r.err = errTooLarge
	}
	r.buffer = append(make([]byte, 0, 2*cap(r.buffer)), r.buffer...)
}

// release returns the buffer to the pool. The reader must not be used any more.
func (r *eventReader) release() {
	if r.pooled == nil {
		return
	}
	eventBuffers.Put(r.pooled)
	r.pooled, r.buffer = nil, nil
	r.start, r.lineStart = 0, 0
}

// parse parses the fields of an event.
func (r *eventReader) parse(raw []byte) Event {
	event := Event{Raw: raw}
	lines := 0
	for line := range bytes.SplitSeq(raw, []byte{'\n'}) {
		line = bytes.TrimSuffix(line, []byte{'\r'})
		name, value, _ := bytes.Cut(line, []byte{':'})
		value = bytes.TrimPrefix(value, []byte{' '})
		switch string(name) {
		case "id":
			event.ID = string(value)
		case "data":
			event.Data = r.joinData(event.Data, value, lines)
			lines++
		}
	}
	return event
}

// joinData adds a line to the data of an event, which has the given number of lines so far. The first line is not copied.
func (r *eventReader) joinData(data, value []byte, lines int) []byte {
	if lines == 0 {
		return value
	}
	if lines == 1 {
		r.joined = append(r.joined[:0], data...)
	}
	r.joined = append(r.joined, '\n')
	r.joined = append(r.joined, value...)
	return r.joined
}
