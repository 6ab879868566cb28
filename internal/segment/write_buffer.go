package segment

// directWriteSize is the size in bytes from which data is written without being copied into a buffer first.
const directWriteSize = 64 << 10

// writeBuffer holds encoded frames that have not been written to a file yet.
type writeBuffer struct {
	chunks [][]byte
	size   int
	frames uint64
	// highestSequence is the highest sequence number of an entry among the frames.
	highestSequence uint64
}

// add appends a frame. Large data is referenced, not copied.
func (b *writeBuffer) add(f frame) {
	header := f.header()
	if len(b.chunks) == 0 {
		b.chunks = append(b.chunks, nil)
	}
	last := &b.chunks[len(b.chunks)-1]
	*last = append(*last, header...)
	if len(f.entry.Data) < directWriteSize {
		*last = append(*last, f.entry.Data...)
	} else {
		b.chunks = append(b.chunks, f.entry.Data[:len(f.entry.Data):len(f.entry.Data)], nil)
	}
	b.size += f.size()
	b.frames++
	if f.kind == entryFrame {
		b.highestSequence = max(b.highestSequence, f.entry.Sequence)
	}
}

// join returns a buffer with the frames of b followed by those of a later buffer.
func (b writeBuffer) join(later writeBuffer) writeBuffer {
	if later.size == 0 {
		return b
	}
	return writeBuffer{
		chunks:          append(b.chunks, later.chunks...),
		size:            b.size + later.size,
		frames:          b.frames + later.frames,
		highestSequence: max(b.highestSequence, later.highestSequence),
	}
}
