// Package capnpcodec marshals and unmarshals Cap'n Proto messages. It bounds the time and memory that a damaged or hostile message
// can cost its reader.
package capnpcodec

import (
	"capnproto.org/go/capnp/v3"
	"github.com/ansel1/merry/v2"
)

const (
	// traverseFactor is how many times the bytes of a message may be read, on average.
	traverseFactor = 4
	// leastTraverseLimit is the number of bytes that may be read from a small message.
	leastTraverseLimit = 1 << 20
	// wordBytes is the size of a word of Cap'n Proto.
	wordBytes = 8
)

// Marshal returns the bytes of a message of one segment. The function newRoot adds the root, and fill sets its fields. An error of
// either is returned.
//
// The size hint is an estimate of the length of the whole message in bytes, which saves copies while it is built; 0 is unknown. A
// message that outgrows its hint is built again from the beginning, so fill may be called twice.
func Marshal[T any](sizeHint int, newRoot func(*capnp.Segment) (T, error), fill func(T) error) ([]byte, error) {
	if sizeHint > 0 {
		data, err := marshalIn(fixedArena(sizeHint), newRoot, fill)
		if err == nil {
			return data, nil
		}
	}
	return marshalIn(growingArena(), newRoot, fill)
}

// fixedArena returns an arena that fails to allocate beyond its size: Cap'n Proto grows only arenas on memory of its own.
func fixedArena(size int) capnp.Arena {
	return capnp.SingleSegment(make([]byte, 0, size))
}

// growingArena returns an arena on pooled memory.
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
// The number of bytes that can be read from the message is limited to a multiple of its length, or to 1 MiB if that is more. A
// message whose pointers lead to the same object again and again returns errors from there on.
func Unmarshal[T any](data []byte, readRoot func(*capnp.Message) (T, error)) (T, error) {
	message, err := capnp.Unmarshal(data)
	if err != nil {
		var none T
		return none, err
	}
	message.ResetReadLimit(traverseLimit(len(data)))
	return readRoot(message)
}

// traverseLimit returns the number of bytes that may be read from a message of a size.
func traverseLimit(size int) uint64 {
	return max(traverseFactor*uint64(size), leastTraverseLimit)
}

// List is a list of structs or pointers within a message.
type List interface {
	Len() int
	Message() *capnp.Message
}

// CheckLength returns an error for a list that claims more elements than its message has words: elements without content take no
// space, so that a short message can claim a great many. Readers have to call it before they allocate memory for the elements.
// It is only for lists of structs and of pointers, as smaller elements share a word.
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
