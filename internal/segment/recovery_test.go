package segment

import (
	"errors"
	"os"
	"slices"
	"testing"
)

// flipBit flips a bit of the byte at an offset. A negative offset counts from the end.
func flipBit(t *testing.T, name string, offset int) {
	t.Helper()
	contents, err := os.ReadFile(name)
	mustSucceed(t, err)
	if offset < 0 {
		offset += len(contents)
	}
	contents[offset] ^= 0x40
	mustSucceed(t, os.WriteFile(name, contents, filePermissions))
}

func TestDamagedSnapshotFallsBackToOlderOne(t *testing.T) {
	directory := t.TempDir()
	log, _ := openLog(t, directory, Options{SegmentSize: 200})
	for sequence := uint64(1); sequence <= 60; sequence++ {
		mustSucceed(t, log.Append(numberedEntries(sequence, sequence)...))
		mustSucceed(t, log.Sync())
		if sequence%20 == 0 {
			mustSucceed(t, log.SaveSnapshot(Snapshot{Sequence: sequence, Data: []byte("state")}))
		}
	}
	mustSucceed(t, log.Close())
	flipBit(t, fileAt(t, directory, "*.snapshot", -1), -1)
	log, recovered := openLog(t, directory, Options{SegmentSize: 200})
	if recovered.Snapshot == nil || recovered.Snapshot.Sequence != 40 || recovered.DamagedSnapshots != 1 {
		t.Fatalf("recovered snapshot: got %+v with %d damaged ones, want that of 40 with 1", recovered.Snapshot, recovered.DamagedSnapshots)
	}
	checkEntries(t, recovered.Entries, numberedEntries(41, 60))
	mustSucceed(t, log.SaveSnapshot(Snapshot{Sequence: 60, Data: []byte("state")}))
	mustSucceed(t, log.Close())
	_, recovered = openLog(t, directory, Options{})
	if recovered.Snapshot.Sequence != 60 || len(recovered.Entries) != 0 {
		t.Fatalf("recovered: got %+v, want the snapshot of 60 and no entries", recovered)
	}
}

func TestDamagedFirstSnapshotFallsBackToSegments(t *testing.T) {
	directory := t.TempDir()
	log, _ := openLog(t, directory, Options{})
	mustSucceed(t, log.Append(numberedEntries(1, 10)...))
	mustSucceed(t, log.SaveSnapshot(Snapshot{Sequence: 10}))
	mustSucceed(t, log.Close())
	flipBit(t, fileAt(t, directory, "*.snapshot", 0), 20)
	_, recovered := openLog(t, directory, Options{})
	checkEntries(t, recovered.Entries, numberedEntries(1, 10))
}

func TestTornTailIsTruncated(t *testing.T) {
	directory := t.TempDir()
	log, _ := openLog(t, directory, Options{})
	mustSucceed(t, log.Append(numberedEntries(1, 10)...))
	mustSucceed(t, log.Close())
	flipBit(t, fileAt(t, directory, "*.segment", 0), -1)
	log, recovered := openLog(t, directory, Options{})
	checkEntries(t, recovered.Entries, numberedEntries(1, 9))
	if recovered.TruncatedBytes == 0 {
		t.Fatal("truncated bytes: got 0, want some")
	}
	mustSucceed(t, log.Append(Entry{Sequence: 10, Data: []byte("again")}))
	mustSucceed(t, log.Close())
	_, recovered = openLog(t, directory, Options{})
	if len(recovered.Entries) != 10 || string(recovered.Entries[9].Data) != "again" {
		t.Fatalf("recovered entries: got %v, want 10, the last one appended again", recovered.Entries)
	}
}

func TestDamageBeforeTheTailIsReported(t *testing.T) {
	for name, segment := range map[string]int{"last segment": -1, "first segment": 0} {
		t.Run(name, func(t *testing.T) {
			directory := t.TempDir()
			log, _ := openLog(t, directory, Options{SegmentSize: 500})
			for _, entry := range numberedEntries(1, 15) {
				mustSucceed(t, log.Append(entry))
				mustSucceed(t, log.Sync())
			}
			mustSucceed(t, log.Close())
			flipBit(t, fileAt(t, directory, "*.segment", segment), frameHeaderSize)
			_, recovered, err := Open(OSFileSystem{}, directory, Options{})
			if !errors.Is(err, ErrDamaged) {
				t.Fatalf("open after damage: got %v, want ErrDamaged", err)
			}
			checkEntries(t, recovered.Entries, numberedEntries(1, uint64(len(recovered.Entries))))
			if segment < 0 && len(recovered.Entries) == 0 {
				t.Fatal("entries before the damage: got none, want some")
			}
		})
	}
}

func TestMissingSegmentIsReported(t *testing.T) {
	directory := t.TempDir()
	log, _ := openLog(t, directory, Options{SegmentSize: 100, BufferSize: 1})
	for _, entry := range numberedEntries(1, 15) {
		mustSucceed(t, log.Append(entry))
	}
	mustSucceed(t, log.Close())
	mustSucceed(t, os.Remove(fileAt(t, directory, "*.segment", 1)))
	if _, _, err := Open(OSFileSystem{}, directory, Options{}); !errors.Is(err, ErrDamaged) {
		t.Fatalf("open without a segment: got %v, want ErrDamaged", err)
	}
}

// TestMissingFrameIsReported removes a whole frame from a segment. Only the gap in the ordinals reveals the loss, because all
// other frames are complete.
func TestMissingFrameIsReported(t *testing.T) {
	directory := t.TempDir()
	log, _ := openLog(t, directory, Options{})
	mustSucceed(t, log.Append(numberedEntries(1, 3)...))
	mustSucceed(t, log.Sync())
	before := log.SizeSinceSnapshot()
	mustSucceed(t, log.TruncateAfter(2))
	mustSucceed(t, log.TruncateAfter(1))
	mustSucceed(t, log.Sync())
	mustSucceed(t, log.Append(numberedEntries(2, 2)...))
	mustSucceed(t, log.Close())

	name := fileAt(t, directory, "*.segment", 0)
	contents, err := os.ReadFile(name)
	mustSucceed(t, err)
	contents = slices.Delete(contents, int(before), int(before)+frameHeaderSize)
	mustSucceed(t, os.WriteFile(name, contents, filePermissions))
	if _, _, err := Open(OSFileSystem{}, directory, Options{}); !errors.Is(err, ErrDamaged) {
		t.Fatalf("open without a frame: got %v, want ErrDamaged", err)
	}
}

// TestDamageBeforeSnapshotIsReported damages a frame that would be taken for a torn tail if no snapshot had been saved after it.
func TestDamageBeforeSnapshotIsReported(t *testing.T) {
	directory := t.TempDir()
	log, _ := openLog(t, directory, Options{})
	mustSucceed(t, log.Append(numberedEntries(1, 5)...))
	mustSucceed(t, log.Sync())
	before := log.SizeSinceSnapshot()
	mustSucceed(t, log.TruncateAfter(3))
	mustSucceed(t, log.Append(Entry{Epoch: 9, Sequence: 4, Data: []byte("other")}))
	mustSucceed(t, log.SaveSnapshot(Snapshot{Epoch: 9, Sequence: 4, Data: []byte("state")}))
	mustSucceed(t, log.Close())

	flipBit(t, fileAt(t, directory, "*.segment", 0), int(before)+sequenceOffset)
	_, recovered, err := Open(OSFileSystem{}, directory, Options{})
	if !errors.Is(err, ErrDamaged) {
		t.Fatalf("open after damage: got %v, want ErrDamaged", err)
	}
	if recovered.Snapshot == nil || recovered.Snapshot.Sequence != 4 || len(recovered.Entries) > 0 {
		t.Fatalf("recovered: got %+v, want the snapshot of 4 and no entries", recovered)
	}
}
