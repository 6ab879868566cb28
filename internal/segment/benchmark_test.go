package segment

import (
	"fmt"
	"testing"
)

const (
	recoveredBytes     = 100 << 20
	recoveredEntrySize = 16 << 10
	snapshotBytes      = 16 << 20
)

func benchmarkLog(b *testing.B, directory string) *Log {
	log, _, err := Open(OSFileSystem{}, directory, Options{})
	if err != nil {
		b.Fatal(err)
	}
	return log
}

func benchmarkEntries(first uint64, count, size int) []Entry {
	entries := make([]Entry, count)
	for i := range entries {
		entries[i] = Entry{Epoch: 1, Sequence: first + uint64(i), Data: make([]byte, size)}
	}
	return entries
}

// BenchmarkAppendSync appends a batch of entries and syncs it.
func BenchmarkAppendSync(b *testing.B) {
	for _, batch := range []struct{ count, size int }{{1, 200}, {64, 200}, {16, 4 << 10}, {1, 1 << 20}} {
		b.Run(fmt.Sprintf("%dx%d", batch.count, batch.size), func(b *testing.B) {
			log := benchmarkLog(b, b.TempDir())
			entries := benchmarkEntries(1, batch.count, batch.size)
			b.SetBytes(int64(batch.count * batch.size))
			b.ReportAllocs()
			for b.Loop() {
				if err := log.Append(entries...); err != nil {
					b.Fatal(err)
				}
				if err := log.Sync(); err != nil {
					b.Fatal(err)
				}
				for i := range entries {
					entries[i].Sequence += uint64(batch.count)
				}
			}
			if err := log.Close(); err != nil {
				b.Fatal(err)
			}
		})
	}
}

// BenchmarkOpen opens a log with 100 MiB of entries.
func BenchmarkOpen(b *testing.B) {
	directory := b.TempDir()
	log := benchmarkLog(b, directory)
	const count = recoveredBytes / recoveredEntrySize
	if err := log.Append(benchmarkEntries(1, count, recoveredEntrySize)...); err != nil {
		b.Fatal(err)
	}
	if err := log.Close(); err != nil {
		b.Fatal(err)
	}
	b.SetBytes(recoveredBytes)
	b.ReportAllocs()
	for b.Loop() {
		log, recovered, err := Open(OSFileSystem{}, directory, Options{})
		if err != nil || len(recovered.Entries) != count {
			b.Fatalf("open: got %d entries and error %v, want %d entries", len(recovered.Entries), err, count)
		}
		if err := log.Close(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSnapshot saves a snapshot of 16 MiB.
func BenchmarkSnapshot(b *testing.B) {
	log := benchmarkLog(b, b.TempDir())
	snapshot := Snapshot{Epoch: 1, Data: make([]byte, snapshotBytes)}
	b.SetBytes(snapshotBytes)
	b.ReportAllocs()
	for b.Loop() {
		snapshot.Sequence++
		if err := log.Append(Entry{Epoch: 1, Sequence: snapshot.Sequence}); err != nil {
			b.Fatal(err)
		}
		if err := log.SaveSnapshot(snapshot); err != nil {
			b.Fatal(err)
		}
	}
	if err := log.Close(); err != nil {
		b.Fatal(err)
	}
}
