package control

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"path"
	"testing"

	"nickelline/internal/chain"
	"nickelline/internal/segment"
	"nickelline/internal/simnet"
	"nickelline/internal/view"
)

const discardedDirectory = "/data"

// discardedFiles returns the names of files that a replica of the control chain has besides its identity.
func discardedFiles() []string {
	files := path.Join(discardedDirectory, chainDirectory)
	return []string{path.Join(files, "record"), path.Join(files, "acceptor"), path.Join(files, chain.LogDirectory, "1.segment")}
}

// If power is lost at any step of the discarding, a replica that still has its identity also has all its files.
func TestDiscardedReplicaLosesItsIdentityFirst(t *testing.T) {
	finished := false
	for operations := 1; !finished; operations++ {
		disk := simnet.NewDisk(rand.New(rand.NewPCG(uint64(operations), 3)))
		fileSystem := disk.Mount()
		first, _, err := view.LoadIdentity(fileSystem, discardedDirectory)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range discardedFiles() {
			if err := errors.Join(fileSystem.MakeDirectory(path.Dir(name)), segment.SaveRecord(fileSystem, name, []byte("kept"))); err != nil {
				t.Fatal(err)
			}
		}
		disk.LosePowerAfter(operations)
		finished = chain.DiscardReplica(fileSystem, discardedDirectory) == nil
		disk.LosePower()
		checkDiscarded(t, disk.Mount(), first, operations)
	}
}

func checkDiscarded(t *testing.T, fileSystem segment.FileSystem, first view.ReplicaID, operations int) {
	t.Helper()
	missing := 0
	for _, name := range discardedFiles() {
		if _, err := segment.LoadRecord(fileSystem, name); errors.Is(err, fs.ErrNotExist) {
			missing++
		}
	}
	replica, _, err := view.LoadIdentity(fileSystem, discardedDirectory)
	if err != nil {
		t.Fatal(err)
	}
	if replica == first && missing > 0 {
		t.Errorf("power lost after %d operations: got the identity kept and %d files missing, want 0 missing", operations, missing)
	}
}
