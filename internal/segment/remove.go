package segment

import (
	"errors"
	"io/fs"
	"path"
)

// RemoveFiles removes the files of directories, and leaves directories in them. Each is emptied on the disk before the next one
// is touched. One that is not there counts as empty.
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
		_ = fileSystem.Remove(path.Join(directory, name)) // fails for directories
	}
	return fileSystem.SyncDirectory(directory)
}
