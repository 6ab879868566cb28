// Package delta encodes a value as its difference from an earlier one, or by itself, as frames of Zstandard (RFC 8878). The
// earlier value is the dictionary of the frame. The checksum of the frame detects a difference that is applied to a value other
// than the one from which it was made.
package delta

import (
	"math/bits"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	// dictionaryID is the identifier of the dictionary in frames that need the earlier value.
	dictionaryID = 1
	// smallestWindow and largestWindow bound the window in bytes, a power of two that has to span the earlier and the new value.
	smallestWindow = 1 << 16
	largestWindow  = 1 << 26
	// longValue is the size in bytes from which differences are searched with larger tables. They take 2 MB more memory while a
	// value is encoded, and can make its difference a hundred times smaller.
	longValue = 32 << 10
	// sizeLimit is the greatest size of a decoded value in bytes. It bounds the memory that a damaged frame can claim.
	sizeLimit = 64 << 20
)

// Pack returns the frame of a value by itself.
func Pack(value []byte) ([]byte, error) { return encode(value, len(value), zstd.SpeedFastest) }

// Unpack returns the value of a frame that Pack returned.
func Unpack(frame []byte) ([]byte, error) { return decode(frame) }

// Difference returns the frame of a value for receivers that have an earlier one.
func Difference(earlier, value []byte) ([]byte, error) {
	level := zstd.SpeedDefault
	if len(value) < longValue {
		level = zstd.SpeedFastest
	}
	return encode(value, len(earlier)+len(value), level, zstd.WithEncoderDictRaw(dictionaryID, earlier))
}

// Apply returns the value of a frame that Difference returned, given the same earlier value.
func Apply(earlier, difference []byte) ([]byte, error) {
	return decode(difference, zstd.WithDecoderDictRaw(dictionaryID, earlier))
}

// encode uses an encoder only once: values change rarely, and an idle encoder occupies megabytes.
func encode(value []byte, span int, level zstd.EncoderLevel, options ...zstd.EOption) ([]byte, error) {
	options = append(options,
		zstd.WithEncoderLevel(level),
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderCRC(true),
		zstd.WithZeroFrames(true),
		zstd.WithWindowSize(window(span)),
	)
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, merry.Prepend(err, "encode value")
	}
	frame := encoder.EncodeAll(value, nil)
	return frame, merry.Prepend(encoder.Close(), "encode value")
}

// window returns the smallest window that spans a number of bytes.
func window(span int) int {
	return min(max(1<<bits.Len(uint(span)), smallestWindow), largestWindow)
}

func decode(frame []byte, options ...zstd.DOption) ([]byte, error) {
	if len(frame) == 0 {
		return nil, merry.New("decode value: there is no frame")
	}
	options = append(options,
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(sizeLimit),
	)
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, merry.Prepend(err, "decode value")
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(frame, nil)
	return value, merry.Prepend(err, "decode value")
}
