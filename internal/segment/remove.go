package segment

import (
	"errors"
	"io/fs"
	"path"

	"github.com/ansel1/merry/v2"
)

// RemoveFiles removes all files in the given directories, but not what is in subdirectories. The removal is complete and durable in one
// directory before it begins in the next. A directory that does not exist counts as empty.
func RemoveFiles(fileSystem FileSystem, directories ...string) error {
	for _, directory := range directories {
		if err := emptyDirectory(fileSystem, directory); err != nil {
			return err
		}
	}
	return nil
}

func emptyDirectory(fileSystem FileSystem, directory string) error {
	names, err := fileSystem.List(directory)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := removeFile(fileSystem, path.Join(directory, name)); err != nil {
			return merry.Prependf(err, "remove %s", name)
		}
	}
	return fileSystem.SyncDirectory(directory)
}

// removeFile removes a file. It leaves a directory that is not empty as it is.
func removeFile(fileSystem FileSystem, name string) error {
	err := fileSystem.Remove(name)
	if err == nil || errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if _, listErr := fileSystem.List(name); listErr == nil {
		return nil
	}
	return err
}

// Clear removes the files of a log that is not open. The replica thereby loses data that it acknowledged, and has to take a new
// identity.
func Clear(fileSystem FileSystem, directory string) error {
	found, err := listDirectory(fileSystem, directory)
	if err != nil {
		return err
	}
	names := found.obsolete
	for _, name := range found.segments {
		names = append(names, name.String())
	}
	for _, name := range found.snapshots {
		names = append(names, name.String())
	}
	if err := removeFiles(fileSystem, directory, names); err != nil {
		return err
	}
	return fileSystem.SyncDirectory(directory)
}

func removeFiles(fileSystem FileSystem, directory string, names []string) error {
	for _, name := range names {
		if err := fileSystem.Remove(joinPath(directory, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return merry.Prependf(err, "remove %s", name)
		}
	}
	return nil
}
