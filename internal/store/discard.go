package store

import (
	"fmt"
	"path"

	"go.uber.org/zap"

	"nickelline/internal/chain"
	"nickelline/internal/segment"
)

// discardAll removes the replica's identity, and then all of its data: the next start creates a new replica, which is in no view. The
// identity is removed first, so that a replica that has lost data is never mistaken for one that has all that it has acknowledged.
func (s *Service) discardAll() error {
	if err := segment.RemoveFiles(s.options.FileSystem, s.options.Directory); err != nil {
		return fmt.Errorf("remove identity of the replica: %w", err)
	}
	names, err := s.options.FileSystem.List(s.options.Directory)
	if err != nil {
		return fmt.Errorf("list directory of partitions: %w", err)
	}
	for _, name := range names {
		directory := path.Join(s.options.Directory, name)
		if err := segment.RemoveFiles(s.options.FileSystem, path.Join(directory, chain.LogDirectory), directory); err != nil {
			return fmt.Errorf("remove files of %s: %w", name, err)
		}
	}
	return nil
}

// discard closes a partition that is no longer placed here, and removes its log. The record of its view stays, so that an older view
// that arrives late is still recognized as old. The caller holds the service's mutex.
func (s *Service) discard(hosted *hostedPartition) {
	number := hosted.partition.number
	delete(s.partitions, number)
	hosted.close()
	log := path.Join(s.directoryOf(number), chain.LogDirectory)
	if err := segment.RemoveFiles(s.options.FileSystem, log); err != nil {
		s.options.Log.Warn("remove log of discarded partition failed", zap.Uint32("partition", number), zap.Error(err))
	}
}
