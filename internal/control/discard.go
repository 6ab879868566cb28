package control

import (
	"errors"
	"path"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/chain"
	"nickelline/internal/segment"
)

// handleOpenError handles the error of opening a replica, and returns it. A replica whose files are damaged is discarded, so
// that the process joins as a new replica when it is started again.
func (c *Control) handleOpenError(err error) error {
	if !errors.Is(err, segment.ErrDamaged) {
		return err
	}
	err = merry.Prepend(err, "replica files are damaged, the next start creates a new replica")
	return errors.Join(err, discardReplica(c.options.FileSystem, c.options.Settings.DataDirectory))
}

// discardReplica removes the identity of the replica in a directory, and then its files. The order matters: a replica that has
// its identity but not its files would vote without knowing its earlier promises, and count as complete without its data.
func discardReplica(fileSystem segment.FileSystem, directory string) error {
	chainFiles := path.Join(directory, chainDirectory)
	return segment.RemoveFiles(fileSystem, directory, path.Join(chainFiles, chain.LogDirectory), chainFiles)
}
