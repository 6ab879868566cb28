package discovery

import (
	"fmt"
	"testing"

	"nickelline/internal/measure"
)

// BenchmarkListSize reports what a list takes as a message and in memory, for each backend.
func BenchmarkListSize(b *testing.B) {
	for _, n := range []int{100, 1000, 3700} {
		data, err := Encode(NewList(manyBackends(n)))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, err := Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			heap := measure.Heap(20, func() *List {
				list, err := Decode(data)
				if err != nil {
					b.Fatal(err)
				}
				return list
			})
			b.ReportMetric(float64(len(data))/float64(n), "message-bytes/backend")
			b.ReportMetric(heap/float64(n), "heap-bytes/backend")
		})
	}
}
