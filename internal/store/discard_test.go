package store

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"nickelline/internal/chain"
	"nickelline/internal/segment"
	"nickelline/internal/view"
)

func TestDamagedReplicaLosesItsIdentity(t *testing.T) {
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
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		data[len(data)/4] ^= 0xff
		if err := os.WriteFile(file, data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
