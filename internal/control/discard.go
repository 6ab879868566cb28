package control

import (
	"errors"

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
	return errors.Join(err, chain.DiscardReplica(c.options.FileSystem, c.options.Settings.DataDirectory))
}
