package segment

import (
	"encoding/binary"
	"hash/crc32"
)

// frameKind is the operation that a frame of a segment records.
type frameKind uint32

const (
	// entryFrame appends an entry.
	entryFrame frameKind = iota + 1
	// truncationFrame removes all entries after its sequence number.
	truncationFrame
)

// Offsets of the fields in the header of a frame. All fields are little-endian. The checksum covers the rest of the header and
// the data.
const (
	checksumOffset  = 0
	lengthOffset    = 4
	kindOffset      = 8
	unsyncedOffset  = 12
	epochOffset     = 16
	sequenceOffset  = 24
	ordinalOffset   = 32
	frameHeaderSize = 40
)

// MaximumEntrySize is the maximum size of the data of an entry, in bytes.
const MaximumEntrySize = 8 << 20

// frame is one record of a segment.
type frame struct {
	kind frameKind
	// ordinal is the number of the frame, counted from 1 in each generation.
	ordinal uint64
	// unsyncedFrames is the number of frames before this one that were not known to be on the disk when this one was appended.
	// It distinguishes damage from a torn tail: a frame that a later one counts as synced was on the disk and cannot be torn.
	unsyncedFrames uint32
	entry          Entry
}

// header returns the encoded header of the frame, which the data follows.
func (f frame) header() []byte {
	header := make([]byte, frameHeaderSize)
	binary.LittleEndian.PutUint32(header[lengthOffset:], uint32(len(f.entry.Data)))
	binary.LittleEndian.PutUint32(header[kindOffset:], uint32(f.kind))
	binary.LittleEndian.PutUint32(header[unsyncedOffset:], f.unsyncedFrames)
	binary.LittleEndian.PutUint64(header[epochOffset:], f.entry.Epoch)
	binary.LittleEndian.PutUint64(header[sequenceOffset:], f.entry.Sequence)
	binary.LittleEndian.PutUint64(header[ordinalOffset:], f.ordinal)
	checksum := crc32.Checksum(header[lengthOffset:], castagnoli)
	checksum = crc32.Update(checksum, castagnoli, f.entry.Data)
	binary.LittleEndian.PutUint32(header[checksumOffset:], checksum)
	return header
}

// size returns the number of bytes of the encoded frame.
func (f frame) size() int { return frameHeaderSize + len(f.entry.Data) }

// lastSynced returns the ordinal of the last frame that was known to be on the disk when this one was appended.
func (f frame) lastSynced() uint64 { return f.ordinal - 1 - uint64(f.unsyncedFrames) }

// decodeFrame decodes the frame at the start of the contents, and reports whether that frame is complete and undamaged. The
// data of the frame shares the memory of the contents.
func decodeFrame(contents []byte) (frame, bool) {
	if len(contents) < frameHeaderSize {
		return frame{}, false
	}
	length := binary.LittleEndian.Uint32(contents[lengthOffset:])
	kind := frameKind(binary.LittleEndian.Uint32(contents[kindOffset:]))
	if kind != entryFrame && kind != truncationFrame || length > MaximumEntrySize {
		return frame{}, false
	}
	end := frameHeaderSize + int(length)
	if len(contents) < end {
		return frame{}, false
	}
	if binary.LittleEndian.Uint32(contents[checksumOffset:]) != crc32.Checksum(contents[lengthOffset:end], castagnoli) {
		return frame{}, false
	}
	return frame{
		kind:           kind,
		ordinal:        binary.LittleEndian.Uint64(contents[ordinalOffset:]),
		unsyncedFrames: binary.LittleEndian.Uint32(contents[unsyncedOffset:]),
		entry: Entry{
			Epoch:    binary.LittleEndian.Uint64(contents[epochOffset:]),
			Sequence: binary.LittleEndian.Uint64(contents[sequenceOffset:]),
			Data:     contents[frameHeaderSize:end:end],
		},
	}, true
}

// provesSynced reports whether a complete frame in the contents proves that the frame with the given ordinal was synced before.
func provesSynced(contents []byte, ordinal uint64) bool {
	for offset := 0; offset+frameHeaderSize <= len(contents); offset++ {
		f, ok := decodeFrame(contents[offset:])
		if ok && f.ordinal > ordinal && f.lastSynced() >= ordinal {
			return true
		}
	}
	return false
}
