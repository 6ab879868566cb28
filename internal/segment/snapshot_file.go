package segment

import (
	"encoding/binary"
	"path"

	"github.com/ansel1/merry/v2"
)

// Offsets of the fields in the header of a snapshot, which precedes its data in a record. All fields are little-endian.
const (
	snapshotEpochOffset    = 0
	snapshotSequenceOffset = 8
	snapshotOrdinalOffset  = 16
	snapshotHeaderSize     = 24
)

// storedSnapshot is a snapshot in its form on disk.
type storedSnapshot struct {
	Snapshot
	// ordinal is the ordinal of the last frame that was synced when the snapshot was begun. The log is consistent with the
	// snapshot only from that frame on: an earlier part may hold entries that were truncated later.
	ordinal uint64
}

// chunks returns the header and the data.
func (s storedSnapshot) chunks() [][]byte {
	header := make([]byte, snapshotHeaderSize)
	binary.LittleEndian.PutUint64(header[snapshotEpochOffset:], s.Epoch)
	binary.LittleEndian.PutUint64(header[snapshotSequenceOffset:], s.Sequence)
	binary.LittleEndian.PutUint64(header[snapshotOrdinalOffset:], s.ordinal)
	return [][]byte{header, s.Data}
}

func saveSnapshot(fileSystem FileSystem, name string, s storedSnapshot) error {
	return merry.Prependf(saveRecord(fileSystem, name, s.chunks()...), "save snapshot at %d", s.Sequence)
}

func loadSnapshot(fileSystem FileSystem, name string) (*storedSnapshot, error) {
	data, err := loadRecord(fileSystem, name)
	if err != nil {
		return nil, err
	}
	if len(data) < snapshotHeaderSize {
		return nil, merry.Prependf(ErrDamaged, "%s has %d bytes, fewer than a snapshot header", path.Base(name), len(data))
	}
	return &storedSnapshot{
		Snapshot: Snapshot{
			Epoch:    binary.LittleEndian.Uint64(data[snapshotEpochOffset:]),
			Sequence: binary.LittleEndian.Uint64(data[snapshotSequenceOffset:]),
			Data:     data[snapshotHeaderSize:],
		},
		ordinal: binary.LittleEndian.Uint64(data[snapshotOrdinalOffset:]),
	}, nil
}
