package golden

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// StoredDirectory returns the path of a copy of a directory that is committed under testdata, as CopyDirectory does. If
// the directory is missing and the test runs with -update, it calls write to create it first. It never overwrites an
// existing directory, which holds data written by an earlier version.
func StoredDirectory(t *testing.T, directory string, write func(*testing.T)) string {
	t.Helper()
	if _, err := os.Stat(directory); Updating() && errors.Is(err, fs.ErrNotExist) {
		write(t)
	}
	return CopyDirectory(t, directory)
}

// CopyDirectory copies a directory that is committed under testdata, so that a test can open it for writing. It returns the
// path of the copy, which is removed when the test ends.
func CopyDirectory(t *testing.T, directory string) string {
	t.Helper()
	target := filepath.Join(t.TempDir(), filepath.Base(directory))
	if err := os.CopyFS(target, os.DirFS(directory)); err != nil {
		t.Fatalf("copy %s: %v", directory, err)
	}
	return target
}

// FileNames returns the names of the files below a directory, relative to it, one per line in lexical order.
func FileNames(t *testing.T, directory string) string {
	t.Helper()
	var names strings.Builder
	err := filepath.WalkDir(directory, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		relative, err := filepath.Rel(directory, name)
		names.WriteString(filepath.ToSlash(relative))
		names.WriteByte('\n')
		return err
	})
	if err != nil {
		t.Fatalf("list files: %v", err)
	}
	return names.String()
}
