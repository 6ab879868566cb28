package deflated

import (
	"encoding/hex"
	"strings"
	"testing"

	"nickelline/internal/golden"
)

func TestWrappedFormat(t *testing.T) {
	const want = "original that is kept as it is"
	checkExpanded(t, golden.Bytes(t, "wrapped.hex", Wrap([]byte(want))), want)
}

func TestJoinedFormat(t *testing.T) {
	joined := Join(Wrap([]byte("first ")), Wrap([]byte("second ")), nil, Wrap([]byte("third")))
	checkExpanded(t, golden.Bytes(t, "joined.hex", joined), "first second third")
}

// TestCompressedFormat expands a block that an earlier version compressed. It does not compare the block with the result of
// Compress, because another release of the compressor may encode the same original differently.
func TestCompressedFormat(t *testing.T) {
	block, err := hex.DecodeString("f9052a49ad285128c9482c51284a2d484d2c29d6531815a29310200000ffff")
	if err != nil {
		t.Fatal(err)
	}
	checkExpanded(t, block, strings.Repeat("text that repeats. ", 20))
}

func checkExpanded(t *testing.T, block []byte, want string) {
	t.Helper()
	got, err := Expand(block)
	if err != nil || string(got) != want {
		t.Errorf("expanded: got %q, %v, want %q", got, err, want)
	}
	if size := Size(block); size != len(want) {
		t.Errorf("size: got %d, want %d", size, len(want))
	}
}
