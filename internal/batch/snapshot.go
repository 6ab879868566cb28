package batch

import (
	"encoding/binary"

	"capnproto.org/go/capnp/v3"

	"nickelline/internal/fault"
)

// A snapshot is a sequence of frames. A frame is the length of a message in four bytes, little-endian, and the message. The
// first message is the header; one for each job follows, in the order in which they were added, so that no message is larger
// than a job and equal states have equal snapshots.

// frameLengthSize is the size of the length of a frame in bytes.
const frameLengthSize = 4

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() []byte {
	jobs := m.jobsByOrdinal()
	encoded := make([]byte, 0, snapshotSize(jobs))
	encoded = appendFrame(encoded, m.encodeHeader(len(jobs)))
	scratch := make([]byte, largestJobState(jobs))
	for _, j := range jobs {
		clear(scratch) // the memory of a new message has to be zero
		encoded = appendFrame(encoded, encodeJobState(j, scratch[:0]))
	}
	return encoded
}

// Restore replaces the state with that of a snapshot. If the snapshot cannot be decoded, the state is unchanged.
func (m *Machine) Restore(snapshot []byte) error {
	restored := New(m.observer)
	frame, rest, err := nextFrame(snapshot)
	if err != nil {
		return err
	}
	count, err := restored.decodeHeader(frame)
	if err != nil {
		return err
	}
	for range count {
		if frame, rest, err = nextFrame(rest); err != nil {
			return err
		}
		if err = restored.restoreJob(frame); err != nil {
			return err
		}
	}
	*m = *restored
	m.observer.Restored()
	return nil
}

// frameWriter is an io.Writer that appends to a slice.
type frameWriter struct{ data []byte }

// Write implements io.Writer.
func (w *frameWriter) Write(chunk []byte) (int, error) {
	w.data = append(w.data, chunk...)
	return len(chunk), nil
}

// appendFrame appends the frame of a message.
func appendFrame(encoded []byte, message *capnp.Message) []byte {
	begin := len(encoded) + frameLengthSize
	w := &frameWriter{data: binary.LittleEndian.AppendUint32(encoded, 0)}
	_, err := message.WriteTo(w)
	mustEncode(err)
	binary.LittleEndian.PutUint32(w.data[begin-frameLengthSize:], uint32(len(w.data)-begin))
	return w.data
}

// nextFrame returns the message of the first frame, and the frames after it.
func nextFrame(encoded []byte) (frame, rest []byte, err error) {
	if len(encoded) < frameLengthSize {
		return nil, nil, fault.New(fault.Internal, "snapshot of batch jobs: %d bytes left, want a frame length of %d bytes", len(encoded), frameLengthSize)
	}
	size := binary.LittleEndian.Uint32(encoded)
	encoded = encoded[frameLengthSize:]
	if uint64(size) > uint64(len(encoded)) {
		return nil, nil, fault.New(fault.Internal, "snapshot of batch jobs: frame of %d bytes is truncated to %d", size, len(encoded))
	}
	return encoded[:size], encoded[size:], nil
}
