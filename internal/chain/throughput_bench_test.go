package chain

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"nickelline/internal/measure"
)

// BenchmarkProposeTogether commits commands of many concurrent callers over three replicas in this process, with real
// disk syncs. The processor time is that of all three replicas.
func BenchmarkProposeTogether(b *testing.B) {
	const callers = 64
	for _, size := range []int{500, 100 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := newCluster(b, 3, 3)
			c.propose(c.members[0], 1)
			command := append(addCommand(1), make([]byte, size)...)
			head := c.head()
			before := measure.CPUTime()
			b.SetBytes(int64(callers * size))
			for b.Loop() {
				var running sync.WaitGroup
				for range callers {
					running.Go(func() {
						if _, err := head.Propose(context.Background(), command); err != nil {
							b.Error(err)
						}
					})
				}
				running.Wait()
			}
			used := measure.CPUTime() - before
			b.ReportMetric(float64(used.Microseconds())/float64(b.N*callers), "cpu-us/command")
		})
	}
}
