// Package deflated compresses texts and bodies that are stored and sent between machines.
//
// A block begins with the size of its original as a varint, shifted left by one bit. The lowest bit is set if the rest of the
// block is compressed: it then consists of one or more DEFLATE streams (RFC 1951) that hold consecutive parts of the original. An
// original that would not become smaller is not compressed. The block of an empty original is empty.
package deflated

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"io"
	"sync"

	"nickelline/internal/fault"
)

// compressedBit is the bit of a block's header that marks it as compressed.
const compressedBit = 1

// sizeLimit is the greatest size of an original in bytes. It bounds the memory that a damaged block can claim.
const sizeLimit = 64 << 20

var writers = sync.Pool{New: func() any {
	writer, _ := flate.NewWriter(nil, flate.DefaultCompression) // fails only for an invalid level
	return writer
}}

var readers = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// Compress returns the block of an original, compressed if that makes it smaller.
func Compress(original []byte) []byte {
	if len(original) == 0 {
		return nil
	}
	block := bytes.NewBuffer(make([]byte, 0, len(original)+binary.MaxVarintLen64))
	block.Write(blockHeader(len(original), compressedBit))
	writer := writers.Get().(*flate.Writer)
	defer writers.Put(writer)
	writer.Reset(block)
	_, _ = writer.Write(original) // writes to a bytes.Buffer do not fail
	_ = writer.Close()
	if block.Len() >= len(original) {
		return Wrap(original)
	}
	return bytes.Clone(block.Bytes())
}

// Wrap returns the block of an original without compressing it.
func Wrap(original []byte) []byte {
	if len(original) == 0 {
		return nil
	}
	return append(blockHeader(len(original), 0), original...)
}

// Join returns the block of the concatenated originals of other blocks, without expanding them.
func Join(blocks ...[]byte) []byte {
	size, capacity := 0, binary.MaxVarintLen64
	for _, block := range blocks {
		size += Size(block)
		capacity += len(block) + storedHeaderSize
	}
	if size == 0 {
		return nil
	}
	joined := append(make([]byte, 0, capacity), blockHeader(size, compressedBit)...)
	for _, block := range blocks {
		joined = appendStream(joined, block)
	}
	return joined
}

// appendStream appends the content of a block, without its header, as DEFLATE streams.
func appendStream(joined, block []byte) []byte {
	header, length := binary.Uvarint(block)
	switch {
	case length <= 0:
		return joined
	case header&compressedBit != 0:
		return append(joined, block[length:]...)
	}
	return appendStored(joined, block[length:])
}

const (
	// maximumStoredSize is the greatest size of the data of a stored block of RFC 1951 in bytes.
	maximumStoredSize = 0xffff
	// storedHeaderSize is the size of the header of a stored block in bytes.
	storedHeaderSize = 5
)

// appendStored appends a stream of stored blocks, see section 3.2.4 of RFC 1951.
func appendStored(joined, original []byte) []byte {
	for {
		chunk := original[:min(len(original), maximumStoredSize)]
		original = original[len(chunk):]
		final := byte(0)
		if len(original) == 0 {
			final = 1
		}
		joined = append(joined, final)
		joined = binary.LittleEndian.AppendUint16(joined, uint16(len(chunk)))
		joined = binary.LittleEndian.AppendUint16(joined, ^uint16(len(chunk)))
		joined = append(joined, chunk...)
		if final == 1 {
			return joined
		}
	}
}

// blockHeader returns the header of a block with an original of size bytes. The bit is compressedBit or 0.
func blockHeader(size int, bit uint64) []byte { return binary.AppendUvarint(nil, uint64(size)<<1|bit) }

// Size returns the size of a block's original in bytes, 0 if the block has no valid header.
func Size(block []byte) int {
	header, length := binary.Uvarint(block)
	if length <= 0 || header>>1 > sizeLimit {
		return 0
	}
	return int(header >> 1)
}

// Expand returns the original of a block. If the block is not compressed, the original shares its memory.
func Expand(block []byte) ([]byte, error) {
	if len(block) == 0 {
		return nil, nil
	}
	header, length := binary.Uvarint(block)
	if length <= 0 || header>>1 > sizeLimit {
		return nil, fault.New(fault.Internal, "block of %d bytes has no valid size header", len(block))
	}
	size := int(header >> 1)
	rest := block[length:]
	if header&compressedBit == 0 {
		return unwrap(rest, size)
	}
	return inflate(rest, size)
}

// inflate expands consecutive streams whose originals have size bytes in total.
func inflate(streams []byte, size int) ([]byte, error) {
	original := make([]byte, size)
	reader := readers.Get().(io.Reader)
	defer readers.Put(reader)
	source := bytes.NewReader(streams)
	expanded := 0
	for expanded < size || source.Len() > 0 {
		if err := reader.(flate.Resetter).Reset(source, nil); err != nil {
			return nil, fault.Wrap(fault.Internal, err)
		}
		count, err := inflateStream(reader, original[expanded:])
		if err != nil {
			return nil, err
		}
		expanded += count
	}
	return original, nil
}

// inflateStream expands one stream to its end into the given buffer, and returns the size of its original. It fails if the
// original is larger than the buffer.
func inflateStream(reader io.Reader, original []byte) (int, error) {
	count, err := io.ReadFull(reader, original)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return count, checkStreamEnd(reader)
	}
	if err != nil {
		return 0, fault.Wrap(fault.Internal, err)
	}
	return count, checkStreamEnd(reader)
}

// checkStreamEnd returns an error unless the stream has ended.
func checkStreamEnd(reader io.Reader) error {
	var surplus [1]byte
	if _, err := reader.Read(surplus[:]); !errors.Is(err, io.EOF) {
		return fault.New(fault.Internal, "compressed stream is truncated or longer than the size in the block header")
	}
	return nil
}

// unwrap returns the original of a block that is not compressed, after checking its size.
func unwrap(rest []byte, size int) ([]byte, error) {
	if len(rest) != size {
		return nil, fault.New(fault.Internal, "uncompressed block has %d bytes of content, its header says %d", len(rest), size)
	}
	return rest, nil
}
