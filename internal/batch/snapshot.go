package batch

import (
	"encoding/binary"

	"capnproto.org/go/capnp/v3"

	"nickelline/internal/fault"
)

// A snapshot is a header and one message for each job, in the order in which they were taken, each behind its length. So a
// message stays as small as a job, and equal states have equal snapshots.

const frameHead = 4

// Snapshot writes the whole state.
func (m *Machine) Snapshot() []byte {
	jobs := m.ordered()
	encoded := make([]byte, 0, snapshotSize(jobs))
	encoded = appendFrame(encoded, m.encodeHeader(len(jobs)))
	scratch := make([]byte, largestJobState(jobs))
	for _, one := range jobs {
		clear(scratch) // the memory of a new message has to be zero
		encoded = appendFrame(encoded, encodeJobState(one, scratch[:0]))
	}
	return encoded
}

// Restore replaces the whole state by that of a snapshot. A snapshot that cannot be read changes nothing.
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

// frameWriter appends what is written to it.
type frameWriter struct{ data []byte }

// Write implements io.Writer.
func (w *frameWriter) Write(part []byte) (int, error) {
	w.data = append(w.data, part...)
	return len(part), nil
}

// appendFrame appends a message behind its length.
func appendFrame(encoded []byte, message *capnp.Message) []byte {
	begin := len(encoded) + frameHead
	w := &frameWriter{data: binary.LittleEndian.AppendUint32(encoded, 0)}
	_, err := message.WriteTo(w)
	mustEncode(err)
	binary.LittleEndian.PutUint32(w.data[begin-frameHead:], uint32(len(w.data)-begin))
	return w.data
}

func nextFrame(encoded []byte) (frame, rest []byte, err error) {
	if len(encoded) < frameHead {
		return nil, nil, fault.New(fault.Internal, "snapshot of batch jobs ends early")
	}
	size := binary.LittleEndian.Uint32(encoded)
	encoded = encoded[frameHead:]
	if uint64(size) > uint64(len(encoded)) {
		return nil, nil, fault.New(fault.Internal, "snapshot of batch jobs ends within a job")
	}
	return encoded[:size], encoded[size:], nil
}
