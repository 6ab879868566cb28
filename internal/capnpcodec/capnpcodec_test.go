package capnpcodec

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"capnproto.org/go/capnp/v3"
)

// rootSize is the size of the root structs in these tests: a number, and a pointer to data or to a list.
var rootSize = capnp.ObjectSize{DataSize: wordBytes, PointerCount: 1}

func newRoot(segment *capnp.Segment) (capnp.Struct, error) {
	return capnp.NewRootStruct(segment, rootSize)
}

func readRoot(message *capnp.Message) (capnp.Struct, error) {
	pointer, err := message.Root()
	return pointer.Struct(), err
}

func fillWith(content []byte) func(capnp.Struct) error {
	return func(root capnp.Struct) error {
		root.SetUint64(0, uint64(len(content)))
		return root.SetData(0, content)
	}
}

func marshal(t *testing.T, hint int, content []byte) []byte {
	t.Helper()
	data, err := Marshal(hint, newRoot, fillWith(content))
	if err != nil {
		t.Fatalf("marshal %d bytes with a hint of %d: %v", len(content), hint, err)
	}
	return data
}

func unmarshal(t *testing.T, data []byte) capnp.Struct {
	t.Helper()
	root, err := Unmarshal(data, readRoot)
	if err != nil {
		t.Fatal(err)
	}
	return root
}

// marshalList returns a message with a list of structs of the given size.
func marshalList(t *testing.T, element capnp.ObjectSize, length int32) []byte {
	t.Helper()
	data, err := Marshal(0, newRoot, func(root capnp.Struct) error {
		list, err := capnp.NewCompositeList(root.Segment(), element, length)
		if err != nil {
			return err
		}
		return root.SetPtr(0, list.ToPtr())
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func readList(t *testing.T, data []byte) (capnp.List, error) {
	t.Helper()
	pointer, err := unmarshal(t, data).Ptr(0)
	return pointer.List(), err
}

func TestRoundTrip(t *testing.T) {
	content := bytes.Repeat([]byte("content "), 1000)
	root := unmarshal(t, marshal(t, 0, content))
	if root.Uint64(0) != uint64(len(content)) {
		t.Errorf("number: got %d, want %d", root.Uint64(0), len(content))
	}
	pointer, err := root.Ptr(0)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(pointer.Data(), content) {
		t.Errorf("content: got %d bytes that differ, want the %d marshalled bytes", len(pointer.Data()), len(content))
	}
}

func TestMessagesGrowBeyondTheSizeHint(t *testing.T) {
	content := bytes.Repeat([]byte("content "), 100_000)
	want := marshal(t, 0, content)
	for _, hint := range []int{-1, 1, 8, 24, 100, len(content), 2 * len(content)} {
		if !bytes.Equal(marshal(t, hint, content), want) {
			t.Errorf("message with a hint of %d: got other bytes than without a hint", hint)
		}
	}
}

func TestMarshalledBytesAreNotReused(t *testing.T) {
	first := marshal(t, 0, []byte("the first"))
	want := bytes.Clone(first)
	for range 100 {
		marshal(t, 0, []byte("another one"))
	}
	if !bytes.Equal(first, want) {
		t.Errorf("bytes after later messages: got %q, want %q", first, want)
	}
}

func TestMarshalReturnsErrorOfFill(t *testing.T) {
	want := errors.New("cannot be written")
	for _, hint := range []int{0, 1000} {
		data, err := Marshal(hint, newRoot, func(capnp.Struct) error { return want })
		if !errors.Is(err, want) || data != nil {
			t.Errorf("hint of %d: got %d bytes and error %v, want none and %v", hint, len(data), err, want)
		}
	}
}

func TestTruncatedMessagesAreErrors(t *testing.T) {
	data := marshal(t, 0, []byte("some content"))
	for length := range data {
		if _, err := Unmarshal(data[:length], readRoot); err == nil {
			t.Errorf("unmarshal the first %d of %d bytes: got no error, want one", length, len(data))
		}
	}
}

func TestReadingIsLimited(t *testing.T) {
	for _, size := range []int{100 << 10, 2 << 20} {
		data := marshal(t, 0, make([]byte, size))
		reads := countReads(t, unmarshal(t, data))
		limit := max(readLimitFactor*len(data), minReadLimit)
		if reads*size > limit {
			t.Errorf("reads of %d bytes: got %d, want at most %d bytes in all", size, reads, limit)
		}
		if (reads+2)*size <= limit {
			t.Errorf("reads of %d bytes: got only %d, want about %d bytes in all", size, reads, limit)
		}
	}
}

// countReads reads the content of a message until a read fails, and returns the number of successful reads.
func countReads(t *testing.T, root capnp.Struct) int {
	t.Helper()
	const most = 1000
	for reads := range most {
		if _, err := root.Ptr(0); err != nil {
			return reads
		}
	}
	t.Fatalf("reads: got %d, want an error before", most)
	return most
}

func TestCheckLengthAcceptsListsWithinTheirMessages(t *testing.T) {
	for _, length := range []int32{0, 1, 1000} {
		list, err := readList(t, marshalList(t, capnp.ObjectSize{DataSize: wordBytes}, length))
		if err != nil {
			t.Fatal(err)
		}
		if list.Len() != int(length) {
			t.Errorf("elements: got %d, want %d", list.Len(), length)
		}
		if err := CheckLength(list); err != nil {
			t.Error(err)
		}
	}
	if err := CheckLength(capnp.List{}); err != nil {
		t.Errorf("absent list: got %v, want no error", err)
	}
}

func TestCheckLengthRejectsListsBeyondTheirMessages(t *testing.T) {
	list, err := readList(t, marshalList(t, capnp.ObjectSize{}, 100_000))
	if err != nil {
		t.Fatal(err)
	}
	err = CheckLength(list)
	if err == nil || !strings.Contains(err.Error(), "list of 100000 elements") {
		t.Errorf("error: got %v, want one that names the number of elements", err)
	}
	if _, err := readList(t, marshalList(t, capnp.ObjectSize{}, 1<<28)); err == nil {
		t.Error("list beyond the read limit: got no error, want one")
	}
}
