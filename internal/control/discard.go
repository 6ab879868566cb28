package control

import (
	"errors"
	"path"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/chain"
	"nickelline/internal/segment"
)

// handleOpenError returns the error with which a replica could not be opened. A replica whose files are damaged is lost: it is
// discarded, and the process joins as a new replica when it is started again.
func (c *Control) handleOpenError(err error) error {
	if !errors.Is(err, segment.ErrDamaged) {
		return err
	}
	err = merry.Prepend(err, "the replica is lost, the next start makes a new one")
	return errors.Join(err, discardReplica(c.options.FileSystem, c.options.Settings.DataDirectory))
}

// discardReplica removes the identity of the replica in a directory, and then its files. The order matters: with its identity
// but without its files a replica would vote, and count as complete, without the memory of what it has promised and stored.
func discardReplica(fileSystem segment.FileSystem, directory string) error {
	chainFiles := path.Join(directory, chainDirectory)
	return segment.RemoveFiles(fileSystem, directory, path.Join(chainFiles, chain.LogDirectory), chainFiles)
}
