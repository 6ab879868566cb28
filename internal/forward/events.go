package forward

import (
	"bytes"
	"io"
	"sync"
)

const (
	// eventBufferSize is the first size of the buffers that streams are read into.
	eventBufferSize = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 4 << 20
)

var eventBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, eventBufferSize)
	return &b
}}

// eventReader splits what it reads into events, each of which ends with an empty line.
type eventReader struct {
	source    io.Reader
	pooled    *[]byte
	buffer    []byte // read and not yet returned from start on
	start     int
	lineStart int // where the first line begins that is not known to be whole
	joined    []byte
	err       error
}

// next returns the next event. The one before is no longer valid.
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

// eventEnd returns the end of the first event in the buffer, 0 if the event is not whole.
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

// remainder returns what follows the last event of a stream that ended properly, and then the end.
func (r *eventReader) remainder() (Event, error) {
	properEnd := r.err == io.EOF //nolint:errorlint // a reader returns io.EOF itself
	if !properEnd || r.start == len(r.buffer) {
		return Event{}, r.err
	}
	raw := r.buffer[r.start:]
	r.start = len(r.buffer)
	return r.parse(raw), nil
}

// read reads more into the buffer.
func (r *eventReader) read() {
	r.makeRoom()
	n, err := r.source.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	if err != nil {
		r.err = err
	}
}

// makeRoom moves what is unread to the beginning of the buffer, and enlarges the buffer if it is full.
func (r *eventReader) makeRoom() {
	if r.pooled == nil {
		r.pooled = eventBuffers.Get().(*[]byte)
		r.buffer = (*r.pooled)[:0]
	}
	if r.start > 0 {
		left := copy(r.buffer, r.buffer[r.start:])
		r.buffer = r.buffer[:left]
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

// release returns the buffer to the pool. Nothing may be read any more.
func (r *eventReader) release() {
	if r.pooled == nil {
		return
	}
	eventBuffers.Put(r.pooled)
	r.pooled, r.buffer = nil, nil
	r.start, r.lineStart = 0, 0
}

// parse reads the fields of an event.
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

// joinData adds a line to the data of an event. The first one is not copied.
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
