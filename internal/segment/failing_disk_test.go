package segment_test

import (
	"errors"
	"fmt"
	"syscall"
	"testing"

	"nickelline/internal/faultdisk"
	"nickelline/internal/segment"
)

// openFaulty opens a log with entries 1 to 4, all synced, on real files that can be made to fail.
func openFaulty(t *testing.T) (*faultdisk.Disk, *segment.Log, string) {
	t.Helper()
	directory := t.TempDir()
	disk := faultdisk.New(segment.OSFileSystem{})
	log, _, err := segment.Open(disk, directory, segment.Options{SegmentSize: 200})
	mustSucceed(t, err)
	mustSucceed(t, log.Append(entry(1), entry(2)))
	mustSucceed(t, log.Sync())
	mustSucceed(t, log.Append(entry(3), entry(4)))
	mustSucceed(t, log.Sync())
	return disk, log, directory
}

// useLog appends, syncs, cuts the log short and saves a snapshot, and finally replaces the log by a snapshot. Each step is tried until it
// succeeds; whenever one fails, onFailure is called.
func useLog(log *segment.Log, onFailure func(error)) {
	last := log.LastSequence()
	steps := []func() error{
		func() error { return log.Append(entry(last+1), entry(last+2), entry(last+3)) },
		log.Sync,
		func() error { return log.TruncateAfter(last + 2) },
		log.Sync,
		func() error { return log.SaveSnapshot(segment.Snapshot{Sequence: last + 1, Data: []byte("one")}) },
		func() error { return log.Append(entry(last+3), entry(last+4)) },
		log.Sync,
		func() error { return log.SaveSnapshot(segment.Snapshot{Sequence: last + 4, Data: []byte("two")}) },
		func() error { return log.Reset(segment.Snapshot{Sequence: last + 10, Data: []byte("three")}) },
		func() error { return log.Append(entry(last + 11)) },
		log.Sync,
	}
	for _, step := range steps {
		for err := step(); err != nil; err = step() {
			onFailure(err)
		}
	}
}

// TestLogOutlivesAFailingDisk guards against a log that is of no use any more once an operation of its disk has failed: each operation
// fails, with each error, and all together, and the log goes on when they work again.
func TestLogOutlivesAFailingDisk(t *testing.T) {
	failing := [][]faultdisk.Operation{faultdisk.Changes, {faultdisk.ShortWrite, faultdisk.Truncate}, {faultdisk.SyncFile, faultdisk.Open}}
	for _, operation := range faultdisk.Operations {
		failing = append(failing, []faultdisk.Operation{operation})
	}
	for _, operations := range failing {
		for _, errno := range faultdisk.Errors {
			t.Run(fmt.Sprint(operations, errno), func(t *testing.T) {
				disk, log, directory := openFaulty(t)
				disk.Set(&faultdisk.Fault{Operations: operations, Errno: errno})
				failures := 0
				useLog(log, func(err error) {
					if !errors.Is(err, errno) && !errors.Is(err, segment.ErrUnfinishedReset) || !segment.IsTransient(err) {
						t.Fatalf("operation on a failing disk: got %v, want an error that is transient, of %v", err, errno)
					}
					if failures++; failures%3 == 0 {
						disk.Set(nil)
					}
				})
				disk.Set(nil)
				mustSucceed(t, log.Close())
				_, recovered, err := segment.Open(disk, directory, segment.Options{})
				mustSucceed(t, err)
				if recovered.Snapshot == nil || string(recovered.Snapshot.Data) != "three" || len(recovered.Entries) != 1 {
					t.Errorf("recovered: got %+v, want the third snapshot and one entry", recovered)
				}
			})
		}
	}
}

// TestTruncationKeepsASnapshotThatMayBeOnTheDisk guards against entries that come back after they were cut off: a snapshot that could
// neither be saved properly nor removed would bring them back at the next start.
func TestTruncationKeepsASnapshotThatMayBeOnTheDisk(t *testing.T) {
	disk, log, directory := openFaulty(t)
	disk.Set(&faultdisk.Fault{Operations: []faultdisk.Operation{faultdisk.SyncDirectory, faultdisk.Remove}, Errno: syscall.EIO})
	if err := log.SaveSnapshot(segment.Snapshot{Sequence: 4, Data: []byte("state")}); !errors.Is(err, syscall.EIO) {
		t.Fatalf("snapshot on a failing disk: got %v, want %v", err, syscall.EIO)
	}
	disk.Set(nil)
	if err := log.TruncateAfter(2); !errors.Is(err, segment.ErrOutOfOrder) {
		t.Errorf("truncation to before the snapshot: got %v, want segment.ErrOutOfOrder", err)
	}
	mustSucceed(t, log.Close())
	reopened, _, err := segment.Open(disk, directory, segment.Options{})
	mustSucceed(t, err)
	if last := reopened.LastSequence(); last != 4 {
		t.Errorf("last entry after a restart: got %d, want 4", last)
	}
}
