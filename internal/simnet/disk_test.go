package simnet

import (
	"bytes"
	"errors"
	"io/fs"
	"math/rand/v2"
	"syscall"
	"testing"

	"nickelline/internal/segment"
)

const diskSeeds = 300

func newDisk(seed uint64) *Disk { return NewDisk(rand.New(rand.NewPCG(seed, 1))) }

func mustSucceed(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func writeFile(t *testing.T, fileSystem segment.FileSystem, name, text string, sync bool) {
	t.Helper()
	file, err := fileSystem.Create(name)
	mustSucceed(t, err)
	_, err = file.Write([]byte(text))
	mustSucceed(t, err)
	if sync {
		mustSucceed(t, file.Sync())
	}
	mustSucceed(t, file.Close())
}

func TestSyncedFilesLast(t *testing.T) {
	for seed := range uint64(diskSeeds) {
		disk := newDisk(seed)
		fileSystem := disk.Mount()
		mustSucceed(t, fileSystem.MakeDirectory("data"))
		writeFile(t, fileSystem, "data/a", "synced", true)
		mustSucceed(t, fileSystem.SyncDirectory("data"))
		file, err := fileSystem.OpenAppend("data/a")
		mustSucceed(t, err)
		_, err = file.Write([]byte(", unsynced"))
		mustSucceed(t, err)
		disk.LosePower()
		if _, err := fileSystem.ReadFile("data/a"); !errors.Is(err, ErrPowerLost) {
			t.Fatalf("a process without power reads: %v", err)
		}
		data, err := disk.Mount().ReadFile("data/a")
		mustSucceed(t, err)
		if !bytes.HasPrefix(data, []byte("synced")) || len(data) > len("synced, unsynced") {
			t.Fatalf("seed %d: the file holds %q", seed, data)
		}
	}
}

// TestFatesOfUnsyncedWrites checks that all of them occur.
func TestFatesOfUnsyncedWrites(t *testing.T) {
	var whole, none, other int
	for seed := range uint64(diskSeeds) {
		disk := newDisk(seed)
		fileSystem := disk.Mount()
		writeFile(t, fileSystem, "a", "", true)
		mustSucceed(t, fileSystem.SyncDirectory("."))
		writeFile(t, fileSystem, "a", "unsynced", false)
		disk.LosePower()
		data, err := disk.Mount().ReadFile("a")
		mustSucceed(t, err)
		switch string(data) {
		case "unsynced":
			whole++
		case "":
			none++
		default:
			other++
		}
	}
	if whole == 0 || none == 0 || other == 0 {
		t.Fatalf("whole %d, missing %d, torn %d", whole, none, other)
	}
}

// TestUnsyncedNamesSettleApart checks that a rename leaves each of its names as it was or as it is, and that the file
// behind the new name is one of the two.
func TestUnsyncedNamesSettleApart(t *testing.T) {
	type result struct{ from, to string }
	seen := make(map[result]int)
	for seed := range uint64(diskSeeds) {
		disk := newDisk(seed)
		fileSystem := disk.Mount()
		writeFile(t, fileSystem, "to", "old", true)
		writeFile(t, fileSystem, "from", "new", true)
		mustSucceed(t, fileSystem.SyncDirectory("."))
		mustSucceed(t, fileSystem.Rename("from", "to"))
		disk.LosePower()
		fileSystem = disk.Mount()
		from, err := fileSystem.ReadFile("from")
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			t.Fatal(err)
		}
		to, err := fileSystem.ReadFile("to")
		mustSucceed(t, err)
		seen[result{string(from), string(to)}]++
	}
	for _, want := range []result{{"new", "old"}, {"new", "new"}, {"", "old"}, {"", "new"}} {
		if seen[want] == 0 {
			t.Errorf("%v does not occur", want)
		}
		delete(seen, want)
	}
	if len(seen) > 0 {
		t.Errorf("unexpected: %v", seen)
	}
}

func TestKillKeepsFiles(t *testing.T) {
	disk := newDisk(1)
	writeFile(t, disk.Mount(), "a", "unsynced", false)
	disk.Kill()
	data, err := disk.Mount().ReadFile("a")
	mustSucceed(t, err)
	if string(data) != "unsynced" {
		t.Fatalf("the file holds %q", data)
	}
}

func TestWipeEmptiesTheDisk(t *testing.T) {
	disk := newDisk(1)
	fileSystem := disk.Mount()
	writeFile(t, fileSystem, "a", "synced", true)
	mustSucceed(t, fileSystem.SyncDirectory("."))
	disk.Wipe()
	names, err := disk.Mount().List(".")
	mustSucceed(t, err)
	if len(names) > 0 {
		t.Fatalf("left: %v", names)
	}
}

func TestFullDiskWritesWhatFits(t *testing.T) {
	disk := newDisk(1)
	disk.SetCapacity(5)
	file, err := disk.Mount().Create("a")
	mustSucceed(t, err)
	written, err := file.Write([]byte("too much"))
	if written != 5 || !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("wrote %d: %v", written, err)
	}
	mustSucceed(t, file.Truncate(0))
	if used := disk.Used(); used != 0 {
		t.Fatalf("%d bytes are used", used)
	}
}

func TestStalledSyncWaits(t *testing.T) {
	disk := newDisk(1)
	file, err := disk.Mount().Create("a")
	mustSucceed(t, err)
	resume := disk.StallSyncs()
	done := make(chan error)
	go func() { done <- file.Sync() }()
	select {
	case <-done:
		t.Fatal("the sync did not wait")
	default:
	}
	resume()
	mustSucceed(t, <-done)
}

func TestPowerIsLostAfterOperations(t *testing.T) {
	disk := newDisk(1)
	fileSystem := disk.Mount()
	disk.LosePowerAfter(2)
	file, err := fileSystem.Create("a")
	mustSucceed(t, err)
	_, err = file.Write([]byte("a"))
	mustSucceed(t, err)
	if err := file.Sync(); !errors.Is(err, ErrPowerLost) {
		t.Fatalf("third operation: got error %v", err)
	}
	if _, err := fileSystem.List("."); !errors.Is(err, ErrPowerLost) {
		t.Fatalf("later operation: got error %v", err)
	}
}
