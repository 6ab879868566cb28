package placement

import (
	"fmt"
	"slices"
	"testing"
)

func TestPartitionOf(t *testing.T) {
	if got := (Table{}).PartitionOf("tenant"); got != -1 {
		t.Errorf("without partitions: got %d, want -1", got)
	}
	table := mustCreate(t, testStores(3, 3), PolicyFor(1))
	counts := make([]int, len(table.Partitions))
	for i := range 6000 {
		counts[table.PartitionOf(fmt.Sprintf("tenant-%d", i))]++
	}
	if lowest := slices.Min(counts); lowest < 900 {
		t.Errorf("got tenants per partition %v, want at least 900 each", counts)
	}
	// The partition of a tenant must never change, because its jobs are stored there.
	for tenant, want := range map[string]int{"huka270": 4, "tenant-1": 0, "": 2} {
		if got := table.PartitionOf(tenant); got != want {
			t.Errorf("tenant %q: got partition %d, want %d", tenant, got, want)
		}
	}
}
