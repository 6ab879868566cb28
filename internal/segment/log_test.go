package segment

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

func numberedEntries(first, last uint64) []Entry {
	var entries []Entry
	for sequence := first; sequence <= last; sequence++ {
		entries = append(entries, Entry{Epoch: 1 + sequence/10, Sequence: sequence, Data: fmt.Appendf(nil, "data of %d", sequence)})
	}
	return entries
}

func openLog(t *testing.T, directory string, options Options) (*Log, Recovered) {
	t.Helper()
	log, recovered, err := Open(OSFileSystem{}, directory, options)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	t.Cleanup(func() { _ = log.Close() })
	return log, recovered
}

func mustSucceed(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func checkEntries(t *testing.T, got, want []Entry) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("number of entries: got %d, want %d", len(got), len(want))
	}
	for i := range want {
		if got[i].Epoch != want[i].Epoch || got[i].Sequence != want[i].Sequence || !bytes.Equal(got[i].Data, want[i].Data) {
			t.Fatalf("entry at %d: got %v, want %v", i, got[i], want[i])
		}
	}
}

// fileAt returns the file at an index among those that match a pattern. A negative index counts from the end.
func fileAt(t *testing.T, directory, pattern string, index int) string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(directory, pattern))
	mustSucceed(t, err)
	if index < 0 {
		index += len(names)
	}
	if index < 0 || index >= len(names) {
		t.Fatalf("files matching %s: got %d, want one at %d", pattern, len(names), index)
	}
	return names[index]
}

func TestOpenRecoversEntries(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "a", "log")
	log, recovered := openLog(t, directory, Options{})
	if recovered.Snapshot != nil || len(recovered.Entries) != 0 {
		t.Fatalf("new log: got %v, want nothing", recovered)
	}
	entries := numberedEntries(1, 20)
	entries[4].Data = bytes.Repeat([]byte("large "), directWriteSize)
	entries[7].Data = nil
	mustSucceed(t, log.Append(entries[:3]...))
	mustSucceed(t, log.Sync())
	mustSucceed(t, log.Append(entries[3:]...))
	mustSucceed(t, log.Close())
	_, recovered = openLog(t, directory, Options{})
	checkEntries(t, recovered.Entries, entries)
}

func TestAppendRejectsInvalidEntries(t *testing.T) {
	log, _ := openLog(t, t.TempDir(), Options{})
	mustSucceed(t, log.Append(numberedEntries(1, 3)...))
	if err := log.Append(numberedEntries(5, 5)...); !errors.Is(err, ErrOutOfOrder) {
		t.Fatalf("append with a gap: got %v, want ErrOutOfOrder", err)
	}
	if err := log.Append(Entry{Sequence: 4}, Entry{Sequence: 6}); !errors.Is(err, ErrOutOfOrder) {
		t.Fatalf("append with a gap between entries: got %v, want ErrOutOfOrder", err)
	}
	if err := log.Append(Entry{Sequence: 4, Data: make([]byte, MaximumEntrySize+1)}); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("append of a large entry: got %v, want ErrTooLarge", err)
	}
	if last := log.LastSequence(); last != 3 {
		t.Fatalf("last sequence: got %d, want 3", last)
	}
	mustSucceed(t, log.Append(numberedEntries(4, 4)...))
}

func TestTruncationIsRecovered(t *testing.T) {
	directory := t.TempDir()
	log, _ := openLog(t, directory, Options{SegmentSize: 100, BufferSize: 1})
	for _, entry := range numberedEntries(1, 20) {
		mustSucceed(t, log.Append(entry))
	}
	mustSucceed(t, log.TruncateAfter(7))
	other := Entry{Epoch: 9, Sequence: 8, Data: []byte("other")}
	mustSucceed(t, log.Append(other))
	mustSucceed(t, log.Close())
	_, recovered := openLog(t, directory, Options{})
	checkEntries(t, recovered.Entries, append(numberedEntries(1, 7), other))
}

func TestSnapshotRemovesSegments(t *testing.T) {
	directory := t.TempDir()
	log, _ := openLog(t, directory, Options{SegmentSize: 1000})
	next := uint64(1)
	for round := range uint64(20) {
		for range 50 {
			mustSucceed(t, log.Append(numberedEntries(next, next)...))
			mustSucceed(t, log.Sync())
			next++
		}
		mustSucceed(t, log.SaveSnapshot(Snapshot{Epoch: round, Sequence: next - 5, Data: fmt.Appendf(nil, "state %d", next-5)}))
	}
	names, err := os.ReadDir(directory)
	mustSucceed(t, err)
	if len(names) > 2+2*4 {
		t.Fatalf("files: got %d, want at most %d", len(names), 2+2*4)
	}
	if size := log.SizeSinceSnapshot(); size > 1000 {
		t.Fatalf("bytes since the snapshot: got %d, want at most 1000", size)
	}
	if err := log.TruncateAfter(next - 6); !errors.Is(err, ErrOutOfOrder) {
		t.Fatalf("truncation into the snapshot: got %v, want ErrOutOfOrder", err)
	}
	mustSucceed(t, log.Close())
	_, recovered := openLog(t, directory, Options{})
	if s := recovered.Snapshot; s == nil || s.Epoch != 19 || s.Sequence != next-5 || string(s.Data) != fmt.Sprintf("state %d", next-5) {
		t.Fatalf("recovered snapshot: got %v, want that of %d", recovered.Snapshot, next-5)
	}
	checkEntries(t, recovered.Entries, numberedEntries(next-4, next-1))
}

func TestResetReplacesLog(t *testing.T) {
	directory := t.TempDir()
	log, _ := openLog(t, directory, Options{SegmentSize: 200})
	mustSucceed(t, log.Append(numberedEntries(1, 30)...))
	mustSucceed(t, log.Sync())
	mustSucceed(t, log.Append(numberedEntries(31, 40)...))
	mustSucceed(t, log.Reset(Snapshot{Epoch: 8, Sequence: 12, Data: []byte("other state")}))
	if last := log.LastSequence(); last != 12 {
		t.Fatalf("last sequence: got %d, want 12", last)
	}
	mustSucceed(t, log.Append(numberedEntries(13, 15)...))
	mustSucceed(t, log.Close())
	_, recovered := openLog(t, directory, Options{})
	if recovered.Snapshot == nil || recovered.Snapshot.Epoch != 8 || string(recovered.Snapshot.Data) != "other state" {
		t.Fatalf("recovered snapshot: got %+v, want that of epoch 8", recovered.Snapshot)
	}
	checkEntries(t, recovered.Entries, numberedEntries(13, 15))

	flipBit(t, fileAt(t, directory, "*.snapshot", 0), -1)
	if _, _, err := Open(OSFileSystem{}, directory, Options{}); !errors.Is(err, ErrDamaged) {
		t.Fatalf("open after damage of the only snapshot: got %v, want ErrDamaged", err)
	}
	mustSucceed(t, Clear(OSFileSystem{}, directory))
	_, recovered = openLog(t, directory, Options{})
	if recovered.Snapshot != nil || recovered.Entries != nil {
		t.Fatalf("recovered after Clear: got %+v, want nothing", recovered)
	}
}

func TestClosedLogReturnsErrClosed(t *testing.T) {
	log, _ := openLog(t, t.TempDir(), Options{})
	mustSucceed(t, log.Close())
	for name, err := range map[string]error{
		"append":   log.Append(numberedEntries(1, 1)...),
		"sync":     log.Sync(),
		"truncate": log.TruncateAfter(0),
		"snapshot": log.SaveSnapshot(Snapshot{}),
		"reset":    log.Reset(Snapshot{}),
	} {
		if !errors.Is(err, ErrClosed) {
			t.Errorf("%s: got %v, want ErrClosed", name, err)
		}
	}
}
