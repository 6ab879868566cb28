package control

import (
	"testing"
)

func TestDigestHistoryForgetsTheOldest(t *testing.T) {
	history := newDigestHistory(3)
	for i := range uint64(5) {
		history.add(Digest{High: i})
		history.add(Digest{High: i})
	}
	for i := range uint64(5) {
		if history.has(Digest{High: i}) != (i >= 2) {
			t.Errorf("digest %d: got %v, want %v", i, i < 2, i >= 2)
		}
	}
	if len(history.queue) != 3 || len(history.present) != 3 {
		t.Errorf("got %d and %d digests, want 3", len(history.queue), len(history.present))
	}
}
