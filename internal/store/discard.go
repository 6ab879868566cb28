package store

import (
	"errors"
	"fmt"
	"io/fs"
	"path"
	"slices"

	"go.uber.org/zap"

	"nickelline/internal/segment"
)

// discard closes a partition that is no longer placed here, and removes its log. The record of its view stays, so that an older view
// that arrives late is still recognized as old. The caller holds the service's mutex.
func (s *Service) discard(hosted *hostedPartition) {
	number := hosted.partition.number
	delete(s.partitions, number)
	hosted.close()
	s.removeLogOf(number)
}

// removeLogOf removes the log of a discarded partition. If that fails, it is recorded, so that retryDisk tries again. The caller holds the
// service's mutex.
func (s *Service) removeLogOf(number uint32) {
	err := removeLog(s.options.FileSystem, s.logOf(number))
	if err == nil {
		delete(s.unremoved, number)
		return
	}
	if !s.unremoved[number] {
		s.options.Log.Warn("remove log of discarded partition failed, trying again", zap.Uint32("partition", number), zap.Error(err))
	}
	s.unremoved[number] = true
}

// removalName is the name of an empty file, within the directory of a log, that exists while the log is being removed.
const removalName = "removal"

// removeLog removes a log. A removal that does not come to its end is finished by finishRemoval: what it leaves of the log must not be
// taken for a damaged one.
func removeLog(fileSystem segment.FileSystem, directory string) error {
	if err := createDurably(fileSystem, directory, removalName); err != nil {
		return fmt.Errorf("begin removal: %w", err)
	}
	return finishRemoval(fileSystem, directory)
}

// createDurably creates an empty file, for which there is room on a full disk, too, and returns once it is on the disk.
func createDurably(fileSystem segment.FileSystem, directory, name string) error {
	file, err := fileSystem.Create(path.Join(directory, name))
	if err != nil {
		return err
	}
	if err := errors.Join(file.Sync(), file.Close()); err != nil {
		return err
	}
	return fileSystem.SyncDirectory(directory)
}

// finishRemoval removes a log whose removal has begun. The empty file goes last, once the other names are gone from the disk. A
// loss of power cannot bring it back once a later log has entries, since that log syncs the directory before any of them counts.
func finishRemoval(fileSystem segment.FileSystem, directory string) error {
	names, err := fileSystem.List(directory)
	if errors.Is(err, fs.ErrNotExist) || err == nil && !slices.Contains(names, removalName) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("look for an unfinished removal: %w", err)
	}
	others := slices.DeleteFunc(names, func(name string) bool { return name == removalName })
	if err := removeDurably(fileSystem, directory, others...); err != nil {
		return fmt.Errorf("remove log: %w", err)
	}
	if err := removeDurably(fileSystem, directory, removalName); err != nil {
		return fmt.Errorf("end removal: %w", err)
	}
	return nil
}

// removeDurably removes files of a directory, and returns once their names are gone from the disk.
func removeDurably(fileSystem segment.FileSystem, directory string, names ...string) error {
	for _, name := range names {
		if err := fileSystem.Remove(path.Join(directory, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return fileSystem.SyncDirectory(directory)
}
