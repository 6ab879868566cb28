package control

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkReport measures the encoding, decoding and storing of a report, by the number of its partitions.
func BenchmarkReport(b *testing.B) {
	for _, partitions := range []int{4, 40, 400} {
		b.Run(fmt.Sprint(partitions), func(b *testing.B) {
			report := Report{Store: Store{Name: "storage-zone-1", Replica: 7}}
			for i := range partitions {
				report.Chains = append(report.Chains, ChainStatus{Chain: uint32(i), Epoch: 12, Complete: true, Running: 30})
			}
			kept := newReportStore()
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				encoded, err := encodeReport(report, false)
				if err != nil {
					b.Fatal(err)
				}
				decoded, _, err := decodeReport(encoded)
				if err != nil {
					b.Fatal(err)
				}
				kept.put(decoded, time.Now())
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "bytes/report")
		})
	}
}
