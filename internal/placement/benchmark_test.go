package placement

import (
	"fmt"
	"testing"
)

// benchmarkSizes are the numbers of stores in the benchmarks.
var benchmarkSizes = []int{16, 100, 400}

const benchmarkZones = 8

// BenchmarkNextAtRest measures Next on a table that needs no changes.
func BenchmarkNextAtRest(b *testing.B) {
	for _, count := range benchmarkSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			stores := testStores(count, benchmarkZones)
			table := mustCreate(b, stores, PolicyFor(2))
			reportAll(table, stores)
			b.ReportAllocs()
			for b.Loop() {
				if _, changes := Next(table, stores, PolicyFor(2)); len(changes) > 0 {
					b.Fatal(changes)
				}
			}
		})
	}
}

// BenchmarkNextAfterLoss measures Next after the loss of a zone.
func BenchmarkNextAfterLoss(b *testing.B) {
	for _, count := range benchmarkSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			stores := testStores(count, benchmarkZones)
			table := mustCreate(b, stores, PolicyFor(2))
			reportAll(table, stores)
			for i := range stores {
				stores[i].Alive = stores[i].Zone != stores[0].Zone
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, changes := Next(table, stores, PolicyFor(2)); len(changes) == 0 {
					b.Fatal("nothing changes")
				}
			}
		})
	}
}

// BenchmarkNextUneven measures Next when it begins moves to stores that were added.
func BenchmarkNextUneven(b *testing.B) {
	for _, count := range benchmarkSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			stores := testStores(count+benchmarkZones, benchmarkZones)
			table := mustCreate(b, stores[:count], PolicyFor(2))
			reportAll(table, stores)
			b.ReportAllocs()
			for b.Loop() {
				if _, changes := Next(table, stores, PolicyFor(2)); len(changes) == 0 {
					b.Fatal("nothing changes")
				}
			}
		})
	}
}

// BenchmarkCodec measures the encoding and decoding of a table, and reports the size of the message.
func BenchmarkCodec(b *testing.B) {
	for _, count := range benchmarkSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			table := mustCreate(b, testStores(count, benchmarkZones), PolicyFor(2))
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				data, err := Encode(table)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := Decode(data); err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "message-bytes")
		})
	}
}
