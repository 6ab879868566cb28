package golden

import (
	"bytes"
	"testing"
)

func TestHexLinesRoundTrip(t *testing.T) {
	for _, size := range []int{0, 1, 31, 32, 33, 100} {
		content := bytes.Repeat([]byte{0xa5}, size)
		got := parseHex(t, "round trip", []byte(hexLines(content)))
		if !bytes.Equal(got, content) {
			t.Errorf("size %d: got %x, want %x", size, got, content)
		}
	}
}

func TestText(t *testing.T) { Text(t, "sample.txt", "one line\n") }

func TestBytes(t *testing.T) {
	want := []byte{0, 1, 2, 0xff}
	if got := Bytes(t, "sample.hex", want); !bytes.Equal(got, want) {
		t.Errorf("got %x, want %x", got, want)
	}
}
