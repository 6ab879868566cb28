// Package delta encodes a value as a Zstandard frame (RFC 8878), either by itself or as a difference from an earlier
// value. A difference uses the earlier value as the dictionary of the frame. The checksum of the frame detects a
// difference that is applied to a value other than the one from which it was made.
package delta

import (
	"math/bits"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	// dictionaryID identifies the dictionary in frames that need the earlier value.
	dictionaryID = 1
	// minWindowBytes and maxWindowBytes bound the window size, a power of two. A difference needs a window that spans
	// both the earlier and the new value.
	minWindowBytes = 1 << 16
	maxWindowBytes = 1 << 26
	// largeValueBytes is the size from which a difference is encoded with the larger match tables of zstd.SpeedDefault.
	// They take 2 MB more memory while a value is encoded, and can make its difference a hundred times smaller.
	largeValueBytes = 32 << 10
	// maxValueBytes is the largest size of a decoded value. It bounds the memory that a damaged frame can claim.
	maxValueBytes = 64 << 20
)

// Compress returns a frame that contains the whole value.
func Compress(value []byte) ([]byte, error) { return encode(value, len(value), zstd.SpeedFastest) }

// Decompress returns the value of a frame that Compress returned.
func Decompress(frame []byte) ([]byte, error) { return decode(frame) }

// Difference returns a frame from which a receiver that has the earlier value can restore the value.
func Difference(earlier, value []byte) ([]byte, error) {
	level := zstd.SpeedDefault
	if len(value) < largeValueBytes {
		level = zstd.SpeedFastest
	}
	return encode(value, len(earlier)+len(value), level, zstd.WithEncoderDictRaw(dictionaryID, earlier))
}

// Apply returns the value of a frame that Difference returned for the same earlier value. It returns an error if the
// frame is damaged or does not match the earlier value.
func Apply(earlier, difference []byte) ([]byte, error) {
	return decode(difference, zstd.WithDecoderDictRaw(dictionaryID, earlier))
}

// encode creates an encoder for each value rather than keeping one: values change rarely, and an idle encoder occupies
// megabytes.
func encode(value []byte, span int, level zstd.EncoderLevel, options ...zstd.EOption) ([]byte, error) {
	options = append(options,
		zstd.WithEncoderLevel(level),
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderCRC(true),
		zstd.WithZeroFrames(true),
		zstd.WithWindowSize(windowSize(span)),
	)
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, merry.Prepend(err, "encode value")
	}
	frame := encoder.EncodeAll(value, nil)
	return frame, merry.Prepend(encoder.Close(), "encode value")
}

// windowSize returns the smallest window size, within the bounds, that spans the given number of bytes.
func windowSize(span int) int {
	return min(max(1<<bits.Len(uint(span)), minWindowBytes), maxWindowBytes)
}

func decode(frame []byte, options ...zstd.DOption) ([]byte, error) {
	if len(frame) == 0 {
		return nil, merry.New("decode value: frame is empty")
	}
	options = append(options,
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxValueBytes),
	)
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, merry.Prepend(err, "decode value")
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(frame, nil)
	return value, merry.Prepend(err, "decode value")
}
