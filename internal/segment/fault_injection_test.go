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

// faultSeeds is the number of seeds of the tests below, whose outcome depends on what a failed sync leaves on the disk.
const faultSeeds = 200

// newLogWithFailedSync returns a log with one synced entry and one whose sync has failed.
func newLogWithFailedSync(t *testing.T, seed uint64) (*simnet.Disk, *segment.Log) {
	t.Helper()
	disk := simnet.NewDisk(rand.New(rand.NewPCG(seed, 1)))
	log, _ := reopen(t, disk)
	mustSucceed(t, log.Append(entry(1)))
	mustSucceed(t, log.Sync())
	disk.FailSyncs(1)
	mustSucceed(t, log.Append(entry(2)))
	if err := log.Sync(); !errors.Is(err, simnet.ErrSyncFailed) || !segment.IsTransient(err) {
		t.Fatalf("a failed sync: got %v, want simnet.ErrSyncFailed, which is transient", err)
	}
	return disk, log
}

// checkAfterPowerLoss checks that a log ends at a sequence number after a loss of power.
func checkAfterPowerLoss(t *testing.T, disk *simnet.Disk, seed, want uint64) {
	t.Helper()
	disk.LosePower()
	if log, _ := reopen(t, disk); log.LastSequence() != want {
		t.Fatalf("seed %d: last entry after a loss of power: got %d, want %d", seed, log.LastSequence(), want)
	}
}

// TestSyncAfterAFailedSyncWritesAgain guards against a second sync that succeeds because the system has given up what it could not
// write: the entries count as synced then, and a loss of power loses them.
func TestSyncAfterAFailedSyncWritesAgain(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		disk, log := newLogWithFailedSync(t, seed)
		mustSucceed(t, log.Append(entry(3)))
		mustSucceed(t, log.Sync())
		checkAfterPowerLoss(t, disk, seed, 3)
	}
}

// TestOpenAfterAFailedSyncWritesAgain guards against the same if the process is killed after the failed sync: what the next one reads, and
// syncs, need not be on the disk.
func TestOpenAfterAFailedSyncWritesAgain(t *testing.T) {
	read := 0
	for seed := range uint64(faultSeeds) {
		disk := simnet.NewDisk(rand.New(rand.NewPCG(seed, 1)))
		log, _ := reopen(t, disk)
		mustSucceed(t, log.Append(entry(1)))
		mustSucceed(t, log.Sync())
		mustSucceed(t, log.Append(entry(2)))
		disk.FailSyncs(1)
		disk.LosePowerAfter(2) // the write and the sync; the process ends when it cuts the segment back
		if err := log.Sync(); err == nil {
			t.Fatal("a failed sync: got no error")
		}
		disk.Kill()
		log, _ = reopen(t, disk)
		if log.LastSequence() == 2 {
			read++
		}
		checkAfterPowerLoss(t, disk, seed, log.LastSequence())
	}
	if read == 0 {
		t.Error("seeds in which the entry can be read after the kill: got none")
	}
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
