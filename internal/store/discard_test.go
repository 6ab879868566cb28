package store

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"nickelline/internal/chain"
	"nickelline/internal/segment"
	"nickelline/internal/simnet"
	"nickelline/internal/view"
)

// TestDamagedLogCostsOnlyItsPartition guards against a store that discards all of its partitions because the log of one is damaged, and
// against a replica without its log that counts as having it: the store keeps its identity, and gets the data of that partition again,
// as the tail at once, as the former head after a change of the view.
func TestDamagedLogCostsOnlyItsPartition(t *testing.T) {
	for name, damaged := range map[string]int{"head": 0, "tail": 1} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2)
			c.place(1, []int{0, 1}, nil)
			job := testJob(testKey(1), 10, 3)
			c.submit(job)
			before := c.results(job)
			c.close(damaged)
			directory := filepath.Join(c.stores[damaged].directory, "store")
			damage(t, filepath.Join(directory, partitionDirectoryPrefix+"1", chain.LogDirectory))
			c.open(damaged, c.stores[damaged].self.Address)
			c.stores[damaged].service.SetPlacement(c.table.Load())
			service := c.stores[damaged].service
			if damaged == 0 {
				if status := service.partitions[1].node.Status(); status.Complete || status.Ready {
					t.Fatalf("head that has lost its log: got %+v, want neither complete nor ready", status)
				}
				c.place(2, []int{1, 0}, nil)
			}
			c.checkUnchanged(job, before)
			next := testJob(testKey(2), 10, 3) // needs both
			c.submit(next)
			c.checkCompleted(c.results(next), 3)
			if status := service.partitions[1].node.Status(); !status.Complete {
				t.Errorf("replica that has got its data again: got %+v, want it complete", status)
			}
			c.close(1 - damaged)
			c.place(4, []int{damaged}, nil)
			c.checkUnchanged(job, before)
		})
	}
}

// TestReplicaWithADamagedRecordLosesItsIdentity damages the record of a partition, which tells what the replica has acknowledged.
func TestReplicaWithADamagedRecordLosesItsIdentity(t *testing.T) {
	c := newCluster(t, 2)
	c.place(1, []int{0, 1}, nil)
	job := testJob(testKey(1), 10, 3)
	c.submit(job)
	c.results(job)
	c.close(0)
	directory := filepath.Join(c.stores[0].directory, "store")
	former, _, err := view.LoadIdentity(segment.OSFileSystem{}, directory)
	if err != nil {
		t.Fatal(err)
	}
	damage(t, filepath.Join(directory, partitionDirectoryPrefix+"1", chain.LogDirectory))
	damageFile(t, filepath.Join(directory, partitionDirectoryPrefix+"1", "record"))
	if err := c.tryOpen(0, c.stores[0].self.Address); !errors.Is(err, segment.ErrDamaged) {
		t.Fatalf("start with a damaged log: got %v, want %v", err, segment.ErrDamaged)
	}
	next, created, err := view.LoadIdentity(segment.OSFileSystem{}, directory)
	if err != nil || !created || next == former {
		t.Errorf("identity: got %d (created: %v), %v, want a new one after %d", next, created, err, former)
	}
	c.stores[0].self.Replica = next
	if err := c.tryOpen(0, c.stores[0].self.Address); err != nil {
		t.Errorf("second start: got %v, want no error", err)
	}
}

// damage changes a byte in the first half of each segment.
func damage(t *testing.T, directory string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(directory, "*.segment"))
	if err != nil || len(files) == 0 {
		t.Fatalf("segments to damage: got %d, want at least 1: %v", len(files), err)
	}
	for _, file := range files {
		damageFile(t, file)
	}
}

// damageFile changes a byte in the first half of a file.
func damageFile(t *testing.T, file string) {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/4] ^= 0xff
	if err := os.WriteFile(file, data, 0o644); err != nil {
		t.Fatal(err)
	}
}

// TestUnfinishedRemovalIsFinished kills the process, or cuts the power, after each number of disk operations of a removal. It guards
// against a log that is partly removed and counts as damaged at the next start, for which the store would discard all of its partitions.
func TestUnfinishedRemovalIsFinished(t *testing.T) {
	const directory, maxOperations, seeds = "data/partition-1/log", 16, 60
	for operations := range maxOperations {
		for seed := range uint64(seeds) {
			disk := simnet.NewDisk(rand.New(rand.NewPCG(seed, 5)))
			writeLog(t, disk.Mount(), directory)
			mounted := disk.Mount()
			disk.LosePowerAfter(operations)
			removed := removeLog(mounted, directory)
			if seed%2 == 0 {
				disk.Kill()
			} else {
				disk.LosePower()
			}
			mounted = disk.Mount()
			if err := finishRemoval(mounted, directory); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			log, recovered, err := segment.Open(mounted, directory, segment.Options{})
			if err != nil {
				t.Fatalf("ended after %d operations, seed %d: got %v, want a log that can be opened", operations, seed, err)
			}
			if left := len(recovered.Entries); left != 0 && (left != removalEntries || removed == nil) {
				t.Fatalf("ended after %d operations, seed %d: got %d entries, want none or all", operations, seed, left)
			}
			checkLogStays(t, disk, log, directory)
		}
	}
}

// removalEntries is the number of entries that writeLog writes, one a segment.
const removalEntries = 5

func writeLog(t *testing.T, fileSystem segment.FileSystem, directory string) {
	t.Helper()
	log, _, err := segment.Open(fileSystem, directory, segment.Options{SegmentSize: 1})
	if err != nil {
		t.Fatal(err)
	}
	for sequence := range uint64(removalEntries) {
		if err := errors.Join(log.Append(segment.Entry{Sequence: sequence + 1}), log.Sync()); err != nil {
			t.Fatal(err)
		}
	}
}

// checkLogStays checks that what is appended after a removal is there after a loss of power.
func checkLogStays(t *testing.T, disk *simnet.Disk, log *segment.Log, directory string) {
	t.Helper()
	want := log.LastSequence() + 1
	if err := errors.Join(log.Append(segment.Entry{Sequence: want}), log.Sync()); err != nil {
		t.Fatal(err)
	}
	disk.LosePower()
	mounted := disk.Mount()
	if err := finishRemoval(mounted, directory); err != nil {
		t.Fatal(err)
	}
	log, _, err := segment.Open(mounted, directory, segment.Options{})
	if err != nil || log.LastSequence() != want {
		t.Fatalf("log of a partition that was placed here again: got %v, %v, want it to end at %d", log, err, want)
	}
}
