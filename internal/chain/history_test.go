package chain

import (
	"testing"

	"nickelline/internal/segment"
)

// historyOf returns a history after a base, with one entry of size bytes for each given epoch.
func historyOf(base Position, size int, epochs ...uint64) *history {
	h := newHistory(base, nil)
	for _, epoch := range epochs {
		h.append([]segment.Entry{{Epoch: epoch, Sequence: h.last().Sequence + 1, Data: make([]byte, size)}})
	}
	return h
}

func TestLastCommonPosition(t *testing.T) {
	cases := []struct {
		name string
		a, b *history
		want Position
		ok   bool
	}{
		{"both empty", historyOf(Position{}, 1), historyOf(Position{}, 1), Position{}, true},
		{"one empty", historyOf(Position{}, 1, 1, 1), historyOf(Position{}, 1), Position{}, true},
		{"same", historyOf(Position{}, 1, 1, 1, 2), historyOf(Position{}, 1, 1, 1, 2), Position{2, 3}, true},
		{"one longer", historyOf(Position{}, 1, 1, 1, 1), historyOf(Position{}, 1, 1, 1), Position{1, 2}, true},
		{"diverged", historyOf(Position{}, 1, 1, 1, 3), historyOf(Position{}, 1, 1, 1, 2, 2), Position{1, 2}, true},
		{"diverged at once", historyOf(Position{}, 1, 2), historyOf(Position{}, 1, 1, 1), Position{}, true},
		{"snapshot on one side", historyOf(Position{1, 2}, 1, 1, 2), historyOf(Position{}, 1, 1, 1, 1), Position{1, 3}, true},
		{"ends at the snapshot", historyOf(Position{1, 2}, 1, 2), historyOf(Position{}, 1, 1, 1), Position{1, 2}, true},
		{"ends before the snapshot", historyOf(Position{1, 3}, 1, 2), historyOf(Position{}, 1, 1, 1), Position{}, false},
		{"diverged before the snapshot", historyOf(Position{2, 3}, 1, 2), historyOf(Position{}, 1, 1, 1, 1, 1), Position{}, false},
	}
	for _, c := range cases {
		got, ok := lastCommonPosition(c.a.runs(), c.b.runs())
		if got != c.want || ok != c.ok {
			t.Errorf("%s: got %v, %v; want %v, %v", c.name, got, ok, c.want, c.ok)
		}
		back, ok := lastCommonPosition(c.b.runs(), c.a.runs())
		if back != c.want || ok != c.ok {
			t.Errorf("%s, arguments swapped: got %v, %v; want %v, %v", c.name, back, ok, c.want, c.ok)
		}
	}
}

func TestBatchHoldsOneEntryAtLeast(t *testing.T) {
	h := historyOf(Position{}, 100, 1, 1, 1, 1, 1)
	for _, c := range []struct {
		after, limit, bytes uint64
		want                int
	}{{0, 5, 50, 1}, {0, 5, 250, 2}, {1, 5, 1000, 4}, {1, 3, 1000, 2}, {4, 5, 0, 1}} {
		if got := h.batch(c.after, c.limit, c.bytes); len(got) != c.want || got[0].Sequence != c.after+1 {
			t.Errorf("batch after %d up to %d with %d bytes: got %d entries, want %d", c.after, c.limit, c.bytes, len(got), c.want)
		}
	}
}

func TestTrimAndTruncate(t *testing.T) {
	h := historyOf(Position{}, 10, 1, 1, 2, 2, 2)
	h.trim(2)
	if h.base != (Position{1, 2}) || h.bytesUpTo(3) != 30 || h.bytesUpTo(1) != 20 {
		t.Fatalf("trim: got base %v, %d bytes up to 3, %d up to 1; want {1 2}, 30, 20", h.base, h.bytesUpTo(3), h.bytesUpTo(1))
	}
	h.truncate(4)
	if h.last() != (Position{2, 4}) || h.totalBytes() != 40 {
		t.Fatalf("truncate: got last %v, %d bytes; want {2 4}, 40", h.last(), h.totalBytes())
	}
	h.append([]segment.Entry{{Epoch: 3, Sequence: 5, Data: make([]byte, 5)}})
	if got, ok := h.position(5); !ok || got.Epoch != 3 || h.totalBytes() != 45 {
		t.Fatalf("append: got position %v, %d bytes; want epoch 3, 45", got, h.totalBytes())
	}
	h.trim(5)
	if h.last() != (Position{3, 5}) || h.totalBytes() != 45 || len(h.runs()) != 1 {
		t.Fatalf("trim of all: got last %v, %d bytes, runs %v; want {3 5}, 45, one run", h.last(), h.totalBytes(), h.runs())
	}
}
