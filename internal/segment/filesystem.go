package segment

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/ansel1/merry/v2"
)

const (
	filePermissions      = 0o644
	directoryPermissions = 0o755
)

// File is a file that is open for writing at its end.
type File interface {
	io.WriteCloser
	// Sync returns once the contents are on the disk. After an error it is unknown which of them are, even if they can be read, and a
	// later Sync only covers what is written after the error.
	Sync() error
	// Truncate reduces the file to a size in bytes. Later writes append at its new end. The error matches ErrDamaged if the file is
	// smaller.
	Truncate(size int64) error
	// Rewrite writes data at an offset at which the file holds the same data already, so that a later Sync covers it.
	Rewrite(data []byte, offset int64) error
}

// FileSystem is the set of file operations that the package uses. Paths are separated by slashes. Errors for files that do not
// exist match fs.ErrNotExist.
type FileSystem interface {
	// Create creates an empty file, or truncates the existing file of that name.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for writing at its end.
	OpenAppend(path string) (File, error)
	// ReadFile returns the contents of a file.
	ReadFile(path string) ([]byte, error)
	// Rename renames a file, replacing an existing file of the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// List returns the names of the entries of a directory, sorted.
	List(directory string) ([]string, error)
	// MakeDirectory creates a directory and its missing parents. It does nothing if the directory exists.
	MakeDirectory(path string) error
	// SyncDirectory returns once the entries of the directory, not the contents of its files, are on the disk.
	SyncDirectory(path string) error
}

// OSFileSystem implements FileSystem with the file system of the operating system.
type OSFileSystem struct{}

var _ FileSystem = OSFileSystem{}

// Create implements FileSystem.
func (OSFileSystem) Create(path string) (File, error) {
	file, err := openFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// OpenAppend implements FileSystem.
func (OSFileSystem) OpenAppend(path string) (File, error) {
	file, err := openFile(path, os.O_WRONLY)
	if err != nil {
		return nil, err
	}
	if _, err := file.Seek(0, io.SeekEnd); err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}

func openFile(path string, flags int) (*osFile, error) {
	file, err := os.OpenFile(path, flags, filePermissions)
	if err != nil {
		return nil, err
	}
	return &osFile{File: file}, nil
}

// osFile implements File. Its offset is the end of the file between calls.
type osFile struct{ *os.File }

// Truncate implements File.
func (f *osFile) Truncate(size int64) error {
	info, err := f.Stat()
	if err != nil {
		return err
	}
	if info.Size() < size {
		return merry.Prependf(ErrDamaged, "%s has %d bytes, fewer than %d", filepath.Base(f.Name()), info.Size(), size)
	}
	if err := f.File.Truncate(size); err != nil {
		return err
	}
	_, err = f.Seek(size, io.SeekStart)
	return err
}

// Rewrite implements File.
func (f *osFile) Rewrite(data []byte, offset int64) error {
	if _, err := f.Seek(offset, io.SeekStart); err != nil {
		return err
	}
	_, err := f.Write(data)
	_, seekErr := f.Seek(0, io.SeekEnd)
	return errors.Join(err, seekErr)
}

// ReadFile implements FileSystem.
func (OSFileSystem) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Rename implements FileSystem.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// List implements FileSystem.
func (OSFileSystem) List(directory string) ([]string, error) {
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

// MakeDirectory implements FileSystem. It syncs the parent of each directory that it creates.
func (o OSFileSystem) MakeDirectory(path string) error {
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
func (OSFileSystem) SyncDirectory(path string) error {
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
