// Package capnpcodec marshals and unmarshals Cap'n Proto messages. It bounds the time and memory that a damaged or
// malicious message can cost its reader.
package capnpcodec

import (
	"capnproto.org/go/capnp/v3"
	"github.com/ansel1/merry/v2"
)

const (
	// readLimitFactor is the number of bytes that may be read from a message for each byte of its length.
	readLimitFactor = 4
	// minReadLimit is the read limit, in bytes, of a small message.
	minReadLimit = 1 << 20
	// wordBytes is the size of a Cap'n Proto word.
	wordBytes = 8
)

// Marshal returns the bytes of a message with a single segment. newRoot adds the root, and fill sets its fields.
// Marshal returns the errors of both.
//
// sizeHint is an estimate of the length of the whole message in bytes, 0 if unknown. A good estimate saves copies while
// the message is built. A message that does not fit is built again from the beginning, so fill may be called twice.
func Marshal[T any](sizeHint int, newRoot func(*capnp.Segment) (T, error), fill func(T) error) ([]byte, error) {
	if sizeHint > 0 {
		data, err := marshalIn(fixedArena(sizeHint), newRoot, fill)
		if err == nil {
			return data, nil
		}
	}
	return marshalIn(growingArena(), newRoot, fill)
}

// fixedArena returns an arena that fails to allocate beyond its size: Cap'n Proto grows an arena only if it has
// allocated the arena's memory itself.
func fixedArena(size int) capnp.Arena {
	return capnp.SingleSegment(make([]byte, 0, size))
}

// growingArena returns an arena that grows as needed, in memory from the pool of Cap'n Proto.
func growingArena() capnp.Arena {
	return capnp.SingleSegment(nil)
}

func marshalIn[T any](arena capnp.Arena, newRoot func(*capnp.Segment) (T, error), fill func(T) error) ([]byte, error) {
	message, segment, err := capnp.NewMessage(arena)
	if err != nil {
		return nil, err
	}
	defer message.Release()
	root, err := newRoot(segment)
	if err != nil {
		return nil, err
	}
	if err := fill(root); err != nil {
		return nil, err
	}
	return message.Marshal()
}

// Unmarshal returns the root of a message. Byte fields of the message share the memory of data.
//
// The number of bytes that can be read from the message is limited to 4 times its length, or to 1 MiB if that is more.
// Reads beyond the limit return errors. This protects against a message in which many pointers refer to the same
// object.
func Unmarshal[T any](data []byte, readRoot func(*capnp.Message) (T, error)) (T, error) {
	message, err := capnp.Unmarshal(data)
	if err != nil {
		var none T
		return none, err
	}
	message.ResetReadLimit(readLimit(len(data)))
	return readRoot(message)
}

// readLimit returns the number of bytes that may be read from a message of the given size.
func readLimit(size int) uint64 {
	return max(readLimitFactor*uint64(size), minReadLimit)
}

// List is a list of structs or pointers within a message.
type List interface {
	Len() int
	Message() *capnp.Message
}

// CheckLength returns an error if a list claims more elements than its message has words. Empty elements take no space,
// so a short message can claim a very large number of them. Readers have to call CheckLength before they allocate
// memory for the elements. It applies only to lists of structs or pointers, as smaller elements share a word.
func CheckLength(list List) error {
	if list.Len() == 0 {
		return nil
	}
	size, err := list.Message().TotalSize()
	if err != nil {
		return err
	}
	if uint64(list.Len()) > size/wordBytes {
		return merry.Errorf("list of %d elements in a message of %d bytes", list.Len(), size)
	}
	return nil
}

// ListOf is a list of messages of one type.
type ListOf[M any] interface {
	List
	At(i int) M
}

// DecodeList returns the decoded elements of a list, whose length it checks first. It takes the results of the method that returns the
// list: if err is not nil, it is returned.
func DecodeList[L ListOf[M], M, E any](list L, err error, decode func(M, *E) error) ([]E, error) {
	if err != nil {
		return nil, err
	}
	if err := CheckLength(list); err != nil {
		return nil, err
	}
	elements := make([]E, list.Len())
	for i := range elements {
		if err := decode(list.At(i), &elements[i]); err != nil {
			return nil, err
		}
	}
	return elements, nil
}
