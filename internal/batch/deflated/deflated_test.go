package deflated

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

func randomBytes(random *rand.Rand, size int) []byte {
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	return data
}

func TestExpandReturnsOriginal(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, original := range [][]byte{
		nil, []byte("x"), randomBytes(random, 100), randomBytes(random, 70000), bytes.Repeat([]byte("text "), 20000),
	} {
		for name, make := range map[string]func([]byte) []byte{"compressed": Compress, "wrapped": Wrap} {
			block := make(original)
			got, err := Expand(block)
			if err != nil || !bytes.Equal(got, original) || Size(block) != len(original) {
				t.Errorf("%s block: got %d bytes (%v) and size %d, want the original of %d", name, len(got), err, Size(block), len(original))
			}
			if len(block) > len(original)+5 {
				t.Errorf("size of the %s block: got %d, want at most %d", name, len(block), len(original)+5)
			}
		}
	}
}

func TestDamagedBlocksAreErrors(t *testing.T) {
	whole := Compress([]byte(strings.Repeat("some text ", 100)))
	for cut := 1; cut < len(whole); cut++ {
		if _, err := Expand(whole[:cut]); err == nil {
			t.Fatalf("expand block truncated to %d of %d bytes: got no error, want one", cut, len(whole))
		}
	}
	for _, block := range [][]byte{{0x80}, {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}, {4}, Wrap([]byte("abc"))[:2]} {
		if _, err := Expand(block); err == nil {
			t.Errorf("expand block %v: got no error, want one", block)
		}
	}
}

func TestJoinReturnsBlockOfAllOriginals(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	originals := [][]byte{
		[]byte(strings.Repeat("some text ", 50)), nil, []byte("short"), randomBytes(random, 1<<17), []byte(strings.Repeat("more ", 40)),
	}
	var blocks [][]byte
	for _, original := range originals {
		blocks = append(blocks, Compress(original))
	}
	want := bytes.Join(originals, nil)
	joined := Join(blocks...)
	got, err := Expand(joined)
	if err != nil || !bytes.Equal(got, want) || Size(joined) != len(want) {
		t.Fatalf("joined block: got %d bytes (%v) and size %d, want %d bytes", len(got), err, Size(joined), len(want))
	}
	again, err := Expand(Join(joined, blocks[0]))
	if err != nil || !bytes.Equal(again, append(want, originals[0]...)) {
		t.Errorf("block joined twice: got %d bytes, %v, want %d", len(again), err, len(want)+len(originals[0]))
	}
	if Join(nil, nil) != nil {
		t.Error("join of empty blocks: got a block, want none")
	}
	small := Join(blocks[0], blocks[2], blocks[4])
	for cut := 1; cut < len(small); cut++ {
		if _, err := Expand(small[:cut]); err == nil {
			t.Fatalf("expand joined block truncated to %d of %d bytes: got no error, want one", cut, len(small))
		}
	}
}

// BenchmarkCompress compresses a text of 61 events like those that the benchmark's backends send.
func BenchmarkCompress(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	var text bytes.Buffer
	for id := range 61 {
		fmt.Fprintf(&text, "a.79.%d.%016x.", id, random.Uint64())
		for range 60 {
			text.WriteByte('a' + byte(random.IntN(26)))
		}
		text.WriteByte('\n')
	}
	size := 0
	b.ReportAllocs()
	b.SetBytes(int64(text.Len()))
	for b.Loop() {
		size = len(Compress(text.Bytes()))
	}
	b.ReportMetric(float64(size)/float64(text.Len()), "ratio")
}
