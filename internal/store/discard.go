package store

import (
	"path"

	"go.uber.org/zap"

	"nickelline/internal/chain"
	"nickelline/internal/segment"
)

// discardAll removes the replica's identity, and then all that it had: the next start makes a new replica, which no view
// names. Without its identity it cannot be taken for one that has all that it acknowledged.
func (s *Service) discardAll() error {
	if err := segment.RemoveFiles(s.options.FileSystem, s.options.Directory); err != nil {
		return err
	}
	names, err := s.options.FileSystem.List(s.options.Directory)
	if err != nil {
		return err
	}
	for _, name := range names {
		directory := path.Join(s.options.Directory, name)
		if err := segment.RemoveFiles(s.options.FileSystem, path.Join(directory, chain.LogDirectory), directory); err != nil {
			return err
		}
	}
	return nil
}

// discard closes a partition that is no longer kept here, and removes its log. The record of its view stays: an older view
// that comes late is still known to be old.
func (s *Service) discard(d *served) {
	delete(s.partitions, d.partition.number)
	d.close()
	if err := segment.RemoveFiles(s.options.FileSystem, path.Join(s.directory(d.partition.number), chain.LogDirectory)); err != nil {
		s.options.Log.Warn("remove the log of a partition that is not kept", zap.Error(err))
	}
}
