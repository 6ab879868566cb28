package responsehead

import (
	"bytes"
	"math"
	"strconv"
)

const (
	contentLengthName    = "Content-Length"
	transferEncodingName = "Transfer-Encoding"
	chunkedCoding        = "chunked"
)

// framing is what the fields of a head say about where its body ends, by RFC 9112 section 6.
type framing struct {
	hasLength bool
	length    uint64
	isChunked bool
}

// add takes in a field. It reports false if the field is invalid, or contradicts one before it.
func (f *framing) add(name, value []byte) (valid bool) {
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, []byte(contentLengthName)):
		return f.addLength(value)
	case bytes.EqualFold(name, []byte(transferEncodingName)):
		return f.addCoding(value)
	}
	return true
}

// addLength takes in the value of a length. The same length may be stated more than once (section 6.3).
func (f *framing) addLength(value []byte) bool {
	length, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil || length > math.MaxInt64 || f.isChunked || f.hasLength && length != f.length {
		return false
	}
	f.hasLength, f.length = true, length
	return true
}

// addCoding takes in the value of a transfer coding, of which only chunks can be decoded.
func (f *framing) addCoding(value []byte) bool {
	if !bytes.EqualFold(value, []byte(chunkedCoding)) || f.isChunked || f.hasLength {
		return false
	}
	f.isChunked = true
	return true
}
