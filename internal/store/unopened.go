package store

import (
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/segment"
)

// errNotListed says that the data directory has not been searched for partitions yet.
var errNotListed = errors.New("the directory of partitions has not been listed")

// unopenedLogInterval is the time between two log messages about partitions that cannot be opened.
const unopenedLogInterval = 30 * time.Second

// unopenedPartitions are those that could not be opened so far, because the disk failed. The mutex of the service guards it.
type unopenedPartitions struct {
	directory error // why the data directory could not be searched for partitions, nil once it has been
	failures  map[uint32]error
	since     time.Time // zero if there is no partition that could not be opened
	loggedAt  time.Time
}

// err returns an error of a partition that could not be opened, nil if there is none.
func (u *unopenedPartitions) err() error {
	if u.directory != nil {
		return u.directory
	}
	for _, err := range u.failures {
		return err
	}
	return nil
}

// observe records since when partitions could not be opened, and logs that now and then.
func (u *unopenedPartitions) observe(now time.Time, log *zap.Logger) {
	err := u.err()
	switch {
	case err == nil && !u.since.IsZero():
		log.Info("all partitions are open", zap.Duration("after", now.Sub(u.since)))
		u.since, u.loggedAt = time.Time{}, time.Time{}
	case err == nil:
	case u.since.IsZero():
		u.since = now
		fallthrough
	case now.Sub(u.loggedAt) >= unopenedLogInterval:
		u.loggedAt = now
		log.Warn("open partitions failed, trying again", zap.Int("partitions", len(u.failures)), zap.Duration("for", now.Sub(u.since)), zap.Error(err))
	}
}

// openFound opens the partitions in the data directory, and records those that cannot be opened because the disk fails. It returns only
// errors that are not transient.
func (s *Service) openFound() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return nil
	}
	defer func() { s.unopened.observe(time.Now(), s.options.Log) }()
	numbers, err := s.listPartitions()
	s.unopened.directory = err
	for _, number := range numbers {
		if s.partitions[number] != nil {
			continue
		}
		if _, err := s.open(number); err != nil && !segment.IsTransient(err) {
			return err
		}
	}
	return nil
}

// listPartitions returns the numbers of the partitions that have a directory.
func (s *Service) listPartitions() ([]uint32, error) {
	if err := s.options.FileSystem.MakeDirectory(s.options.Directory); err != nil {
		return nil, fmt.Errorf("make directory of partitions: %w", err)
	}
	names, err := s.options.FileSystem.List(s.options.Directory)
	if err != nil {
		return nil, fmt.Errorf("list directory of partitions: %w", err)
	}
	var numbers []uint32
	for _, name := range names {
		if number, ok := partitionOfDirectory(name); ok {
			numbers = append(numbers, number)
		}
	}
	return numbers, nil
}

// retryDisk does again what the disk did not do: it opens partitions that could not be opened, and removes logs that could not be removed.
func (s *Service) retryDisk() {
	s.mutex.Lock()
	isListed := s.unopened.directory == nil
	s.mutex.Unlock()
	if !isListed {
		if err := s.openFound(); err != nil {
			s.fail(err)
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return
	}
	for number := range s.unopened.failures {
		s.reopen(number)
	}
	s.unopened.observe(time.Now(), s.options.Log)
	for number := range s.unremoved {
		s.removeLogOf(number)
	}
}

// reopen tries again to open a partition, and applies its placement if it is known. The caller holds the mutex.
func (s *Service) reopen(number uint32) {
	_, err := s.open(number)
	if err == nil && s.placements[number] != nil {
		s.apply(s.placements[number])
	}
	if err != nil && !segment.IsTransient(err) {
		s.fail(err)
	}
}

// fail reports that a replica cannot go on.
func (s *Service) fail(err error) {
	if s.options.OnFailure != nil {
		go s.options.OnFailure(err)
	}
}
