package placement

import (
	"fmt"
	"testing"
)

// benchmarkSizes are the numbers of stores that benchmarks are run with.
var benchmarkSizes = []int{16, 100, 400}

const benchmarkZones = 8

// BenchmarkNextAtRest is what is paid for each look at a table in which nothing is to be done.
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

// BenchmarkNextAfterLoss computes the views after the loss of a zone.
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

// BenchmarkNextUneven begins moves to stores that were added.
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

// BenchmarkCodec encodes and decodes a table.
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
