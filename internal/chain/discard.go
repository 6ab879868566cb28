package chain

import (
	"path"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/segment"
)

// DiscardReplica removes a replica that has lost data: its identity, which is a file in the given directory, and then the files of all its
// chains, whose directories are in that directory. The order matters: a replica that had its identity but not its files would vote
// without knowing its earlier promises, and count as complete without its data. If it fails, it may be called again.
func DiscardReplica(fileSystem segment.FileSystem, directory string) error {
	if err := segment.RemoveFiles(fileSystem, directory); err != nil {
		return merry.Prepend(err, "remove identity of the replica")
	}
	names, err := fileSystem.List(directory)
	if err != nil {
		return merry.Prepend(err, "list directories of chains")
	}
	for _, name := range names {
		files := path.Join(directory, name)
		if err := segment.RemoveFiles(fileSystem, path.Join(files, LogDirectory), files); err != nil {
			return merry.Prependf(err, "remove files of %s", name)
		}
	}
	return nil
}
