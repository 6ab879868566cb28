package segment

import (
	"io"
	"os"
	"path/filepath"
	"strings"
)

const (
	filePermissions      = 0o644
	directoryPermissions = 0o755
)

// File is a file that is open for writing at its end.
type File interface {
	io.WriteCloser
	// Sync returns once the contents are on the disk. After a failure it is not known which of them are.
	Sync() error
	// Truncate reduces the file to a size in bytes. Later writes continue there.
	Truncate(size int64) error
}

// FileSystem is what the package needs of a file system. Paths are separated by slashes. Errors for files that do not exist
// match fs.ErrNotExist.
type FileSystem interface {
	// Create creates an empty file. An existing one of that name is truncated.
	Create(path string) (File, error)
	// OpenAppend opens a file that exists.
	OpenAppend(path string) (File, error)
	// ReadFile returns the contents of a file.
	ReadFile(path string) ([]byte, error)
	// Rename gives a file a new name, replacing the file that has it.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// List returns the names in a directory, sorted.
	List(directory string) ([]string, error)
	// MakeDirectory creates a directory and its parents, and does nothing if it exists.
	MakeDirectory(path string) error
	// SyncDirectory returns once the names in the directory are on the disk.
	SyncDirectory(path string) error
}

// OperatingSystem is the file system of the machine.
type OperatingSystem struct{}

var _ FileSystem = OperatingSystem{}

// Create implements FileSystem.
func (OperatingSystem) Create(path string) (File, error) {
	return openFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND)
}

// OpenAppend implements FileSystem.
func (OperatingSystem) OpenAppend(path string) (File, error) {
	return openFile(path, os.O_WRONLY|os.O_APPEND)
}

func openFile(path string, flags int) (File, error) {
	file, err := os.OpenFile(path, flags, filePermissions)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// ReadFile implements FileSystem.
func (OperatingSystem) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Rename implements FileSystem.
func (OperatingSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (OperatingSystem) Remove(path string) error { return os.Remove(path) }

// List implements FileSystem.
func (OperatingSystem) List(directory string) ([]string, error) {
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name()
	}
	return names, nil
}

// MakeDirectory implements FileSystem. The parent of a new directory is synced.
func (o OperatingSystem) MakeDirectory(path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	parent := filepath.Dir(strings.TrimRight(path, "/"))
	if parent == path {
		return os.Mkdir(path, directoryPermissions)
	}
	if err := o.MakeDirectory(parent); err != nil {
		return err
	}
	if err := os.Mkdir(path, directoryPermissions); err != nil && !os.IsExist(err) {
		return err
	}
	return o.SyncDirectory(parent)
}

// SyncDirectory implements FileSystem.
func (OperatingSystem) SyncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	if err := directory.Sync(); err != nil {
		_ = directory.Close()
		return err
	}
	return directory.Close()
}
