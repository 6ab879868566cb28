package chain

import (
	"context"
	"fmt"
	"testing"

	"nickelline/internal/measure"
	"nickelline/internal/view"
)

// BenchmarkBarrier runs one barrier after another over chains of several lengths in this process. The processor time is
// that of all replicas.
func BenchmarkBarrier(b *testing.B) {
	for _, replicas := range []int{3, 5, 8} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			c := newClusterOf(b, replicas, replicas, view.Policy{MinimumMembers: 2, MaximumMembers: replicas})
			c.propose(c.members[0], 1)
			head := c.head()
			if members := len(head.View().Members); members != replicas {
				b.Fatalf("members of the chain: got %d, want %d", members, replicas)
			}
			before := measure.CPUTime()
			for b.Loop() {
				if err := head.Barrier(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
			used := measure.CPUTime() - before
			b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/barrier")
		})
	}
}
