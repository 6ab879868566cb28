package admission

import (
	"fmt"
	"testing"

	"nickelline/internal/discovery"
)

func TestFewBackendsAreAllUsed(t *testing.T) {
	all := backendsOf(subsetSize, 96, "a", "b", "c")
	if got := subset(all, "a", 7); len(got) != len(all) {
		t.Errorf("subset of few backends: got %d, want %d", len(got), len(all))
	}
}

func TestSubsetPrefersTheZone(t *testing.T) {
	all := backendsOf(3700, 96, "a", "b", "c", "d", "e", "f", "g", "h")
	near := 0
	for _, b := range subset(all, "c", 7) {
		if b.Zone == "c" {
			near++
		}
	}
	if near != subsetSameZone {
		t.Errorf("backends of the local zone: got %d, want %d", near, subsetSameZone)
	}
	zoned := backendsOf(900, 96, "x", "y")
	if got := subset(zoned, "c", 7); len(got) != subsetSize {
		t.Errorf("node in a zone without backends: got %d, want %d", len(got), subsetSize)
	}
}

func TestSubsetIsStable(t *testing.T) {
	all := backendsOf(3700, 96, "a", "b", "c", "d")
	before := subset(all, "a", 7)
	fewer := append([]discovery.Backend{}, all[:100]...)
	fewer = append(fewer, all[137:]...) // 1 in 100 is removed
	if changed := countMissing(before, subset(fewer, "a", 7)); changed > 4 {
		t.Errorf("backends exchanged when 1 in 100 is removed: got %d of %d, want at most 4", changed, len(before))
	}
}

// countMissing returns the number of backends in before that are not in after.
func countMissing(before, after []discovery.Backend) int {
	kept := map[string]bool{}
	for _, b := range after {
		kept[b.ID] = true
	}
	missing := 0
	for _, b := range before {
		if !kept[b.ID] {
			missing++
		}
	}
	return missing
}

func TestSubsetsCoverTheBackendsEvenly(t *testing.T) {
	const nodes = 390
	zones := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	all := backendsOf(3700, 96, zones...)
	counts := map[string]int{}
	for i := range nodes {
		for _, b := range subset(all, zones[i%len(zones)], hashOf(fmt.Sprintf("node-%d", i))) {
			counts[b.ID]++
		}
	}
	unused := 0
	for _, b := range all {
		if counts[b.ID] == 0 {
			unused++
		}
	}
	if unused > len(all)/100 {
		t.Errorf("backends in no node's subset: got %d of %d, want at most 1 in 100", unused, len(all))
	}
}
