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
		if _, err := fileSystem.ReadFile("data/a"); !errors.Is(err, ErrProcessEnded) {
			t.Fatalf("ReadFile after the loss of power: got error %v, want ErrProcessEnded", err)
		}
		data, err := disk.Mount().ReadFile("data/a")
		mustSucceed(t, err)
		if !bytes.HasPrefix(data, []byte("synced")) || len(data) > len("synced, unsynced") {
			t.Fatalf("seed %d: got contents %q, want the synced ones and at most the unsynced ones", seed, data)
		}
	}
}

// TestOutcomesOfUnsyncedWrites checks that an unsynced write can be present, missing or torn after a loss of power.
func TestOutcomesOfUnsyncedWrites(t *testing.T) {
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
		t.Fatalf("got %d whole, %d missing and %d torn writes, want some of each", whole, none, other)
	}
}

// TestOutcomesOfUnsyncedRename checks that after a loss of power each of the two names of an unsynced rename is either
// as before or as after the rename, independently of the other, and that the new name refers to one of the two files.
func TestOutcomesOfUnsyncedRename(t *testing.T) {
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
			t.Errorf("outcome %v: got none, want some", want)
		}
		delete(seen, want)
	}
	if len(seen) > 0 {
		t.Errorf("got unexpected outcomes %v, want none", seen)
	}
}

func TestKillKeepsFiles(t *testing.T) {
	disk := newDisk(1)
	writeFile(t, disk.Mount(), "a", "unsynced", false)
	disk.Kill()
	data, err := disk.Mount().ReadFile("a")
	mustSucceed(t, err)
	if string(data) != "unsynced" {
		t.Fatalf("contents: got %q, want the unsynced ones", data)
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
		t.Fatalf("files: got %v, want none", names)
	}
}

func TestFullDiskWritesWhatFits(t *testing.T) {
	disk := newDisk(1)
	disk.SetCapacity(5)
	file, err := disk.Mount().Create("a")
	mustSucceed(t, err)
	written, err := file.Write([]byte("too much"))
	if written != 5 || !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("Write: got %d bytes and error %v, want 5 and ENOSPC", written, err)
	}
	mustSucceed(t, file.Truncate(0))
	if used := disk.Used(); used != 0 {
		t.Fatalf("Used: got %d bytes, want 0", used)
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
		t.Fatal("stalled Sync: got a return before resume, want it to wait")
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
	if err := file.Sync(); !errors.Is(err, ErrProcessEnded) {
		t.Fatalf("third operation: got error %v, want ErrProcessEnded", err)
	}
	if _, err := fileSystem.List("."); !errors.Is(err, ErrProcessEnded) {
		t.Fatalf("later operation: got error %v, want ErrProcessEnded", err)
	}
}
