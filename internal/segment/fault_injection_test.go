package segment_test

import (
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"

	"nickelline/internal/segment"
	"nickelline/internal/simnet"
)

func newFaultyLog(t *testing.T) (*simnet.Disk, *segment.Log) {
	t.Helper()
	disk := simnet.NewDisk(rand.New(rand.NewPCG(1, 1)))
	log, _ := reopen(t, disk)
	return disk, log
}

func reopen(t *testing.T, disk *simnet.Disk) (*segment.Log, segment.Recovered) {
	t.Helper()
	log, recovered, err := segment.Open(disk.Mount(), logDirectory, segment.Options{})
	mustSucceed(t, err)
	return log, recovered
}

func mustSucceed(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func entry(sequence uint64) segment.Entry {
	return segment.Entry{Epoch: 1, Sequence: sequence, Data: []byte("some data of an entry")}
}

func TestFullDiskDoesNotCloseTheLog(t *testing.T) {
	disk, log := newFaultyLog(t)
	mustSucceed(t, log.Append(entry(1)))
	mustSucceed(t, log.Sync())
	disk.SetCapacity(disk.Used() + 10)
	mustSucceed(t, log.Append(entry(2)))
	if err := log.Sync(); !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("sync on a full disk: got %v, want syscall.ENOSPC", err)
	}
	if err := log.SaveSnapshot(segment.Snapshot{Sequence: 1}); !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("snapshot on a full disk: got %v, want syscall.ENOSPC", err)
	}
	mustSucceed(t, log.Append(entry(3)))
	disk.SetCapacity(0)
	mustSucceed(t, log.Sync())
	disk.LosePower()
	if _, recovered := reopen(t, disk); len(recovered.Entries) != 3 {
		t.Fatalf("recovered entries: got %v, want 3", recovered.Entries)
	}
}

func TestFailedSyncClosesTheLog(t *testing.T) {
	disk, log := newFaultyLog(t)
	mustSucceed(t, log.Append(entry(1)))
	mustSucceed(t, log.Sync())
	disk.FailSyncs(1)
	mustSucceed(t, log.Append(entry(2)))
	if err := log.Sync(); !errors.Is(err, segment.ErrClosed) || !errors.Is(err, simnet.ErrSyncFailed) {
		t.Fatalf("a failed sync: got %v, want segment.ErrClosed and simnet.ErrSyncFailed", err)
	}
	if err := log.Append(entry(3)); !errors.Is(err, segment.ErrClosed) {
		t.Fatalf("append after a failed sync: got %v, want segment.ErrClosed", err)
	}
	log, recovered := reopen(t, disk)
	if len(recovered.Entries) < 1 || len(recovered.Entries) > 2 {
		t.Fatalf("recovered entries: got %v, want 1 or 2", recovered.Entries)
	}
	mustSucceed(t, log.Append(entry(log.LastSequence()+1)))
	mustSucceed(t, log.Sync())
}

func TestAppendDuringSync(t *testing.T) {
	disk, log := newFaultyLog(t)
	mustSucceed(t, log.Append(entry(1)))
	resume := disk.StallSyncs()
	synced := make(chan error)
	go func() { synced <- log.Sync() }()
	mustSucceed(t, log.Append(entry(2), entry(3)))
	if last := log.LastSequence(); last != 3 {
		t.Fatalf("last sequence: got %d, want 3", last)
	}
	resume()
	mustSucceed(t, <-synced)
	mustSucceed(t, log.Sync())
	disk.LosePower()
	if _, recovered := reopen(t, disk); len(recovered.Entries) != 3 {
		t.Fatalf("recovered entries: got %v, want 3", recovered.Entries)
	}
}

// TestConcurrentUse appends, syncs and replaces entries by snapshots at the same time.
func TestConcurrentUse(t *testing.T) {
	const entries = 300
	log, _, err := segment.Open(segment.OSFileSystem{}, t.TempDir(), segment.Options{SegmentSize: 2000, BufferSize: 500})
	mustSucceed(t, err)
	appended := make(chan uint64, entries)
	var group sync.WaitGroup
	group.Go(func() {
		defer close(appended)
		for sequence := uint64(1); sequence <= entries; sequence++ {
			if err := log.Append(entry(sequence)); err != nil {
				t.Error(err)
				return
			}
			appended <- sequence
		}
	})
	for range 2 {
		group.Go(func() {
			for sequence := range appended {
				if err := log.Sync(); err != nil {
					t.Error(err)
				}
				err := log.SaveSnapshot(segment.Snapshot{Sequence: sequence})
				if err != nil && !errors.Is(err, segment.ErrOutOfOrder) {
					t.Error(err)
				}
			}
		})
	}
	group.Wait()
	mustSucceed(t, log.Close())
}
