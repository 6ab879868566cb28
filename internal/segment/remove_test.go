package segment_test

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"nickelline/internal/faultdisk"
	"nickelline/internal/segment"
)

// TestRemovalStopsAtAFileThatStays guards against a replica that keeps its identity and loses its data: the files of a directory that could
// not be removed must keep the next directory from being emptied.
func TestRemovalStopsAtAFileThatStays(t *testing.T) {
	first, second := t.TempDir(), t.TempDir()
	for _, directory := range []string{first, second} {
		mustSucceed(t, os.WriteFile(filepath.Join(directory, "file"), []byte("data"), 0o600))
	}
	mustSucceed(t, os.MkdirAll(filepath.Join(first, "directory", "inner"), 0o700))
	disk := faultdisk.New(segment.OSFileSystem{})
	disk.Set(&faultdisk.Fault{Operations: []faultdisk.Operation{faultdisk.Remove}, Errno: syscall.EIO, Path: first})
	if err := segment.RemoveFiles(disk, first, second); !errors.Is(err, syscall.EIO) {
		t.Errorf("removal of files that stay: got %v, want %v", err, syscall.EIO)
	}
	if _, err := os.Stat(filepath.Join(second, "file")); err != nil {
		t.Errorf("file in the second directory: got %v, want it there", err)
	}
	disk.Set(nil)
	mustSucceed(t, segment.RemoveFiles(disk, first, second))
	for directory, want := range map[string]int{first: 1, second: 0} {
		if names, err := disk.List(directory); err != nil || len(names) != want {
			t.Errorf("left after the removal: got %v, %v, want %d", names, err, want)
		}
	}
}
