package store

import (
	"slices"
	"testing"
)

func TestSharedSegmentsLeaveOutTheLast(t *testing.T) {
	got := sharedSegments("9c2e41:300, 5d07b8:240")
	if want := []string{"9c2e41"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
