package placement

import (
	"net/netip"
	"testing"

	"nickelline/internal/golden"
	"nickelline/internal/view"
)

func TestGoldenTable(t *testing.T) {
	first := view.Member{Replica: 0x1112131415161718, Name: "store-1", Zone: "zone-a", Address: netip.MustParseAddrPort("10.1.2.3:7660")}
	second := view.Member{Replica: 0x2122232425262728, Name: "store-2", Zone: "zone-b", Address: netip.MustParseAddrPort("10.4.5.6:7661")}
	joined := func(m view.Member, epoch uint64) view.Member {
		m.Joined = epoch
		return m
	}
	table := Table{
		Version: 31,
		Partitions: []Partition{
			{
				View:     view.View{Chain: 32, Epoch: 33, Members: []view.Member{joined(first, 34), joined(second, 35)}},
				Learners: []view.Member{second},
			},
			{View: view.View{Chain: 36, Epoch: 37, Members: []view.Member{joined(second, 38)}}, Learners: []view.Member{first}},
		},
	}
	golden.RoundTrip(t, "table.hex", table, Encode, Decode)
}

// The chain of a partition and the partition of a tenant must not change between versions: stored data depends on them.
func TestGoldenPartitionNumbers(t *testing.T) {
	table := Table{Partitions: make([]Partition, 64)}
	for _, c := range []struct {
		tenant string
		want   int
	}{
		{"", 38},
		{"acme", 6},
		{"tenant-1", 16},
		{"tenant-2", 49},
	} {
		if got := table.PartitionOf(c.tenant); got != c.want {
			t.Errorf("tenant %q: got partition %d, want %d", c.tenant, got, c.want)
		}
	}
	for partition, want := range map[int]uint32{0: 1, 1: 2, 511: 512} {
		if got := ChainOf(partition); got != want {
			t.Errorf("partition %d: got chain %d, want %d", partition, got, want)
		}
	}
}
