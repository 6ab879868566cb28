package chain

import (
	"errors"
	"maps"
	"path"
	"time"

	"nickelline/internal/segment"
)

// write carries out disk operations one after another, each after a random delay.
func (s *site) write(operations []DiskOperation) {
	for _, operation := range operations {
		s.writing = append(s.writing, operation)
		delay := s.diskDelay/2 + time.Duration(s.simulation.random.Int64N(int64(s.diskDelay)))
		s.writeAt = max(s.writeAt, s.simulation.network.Now()) + delay
		s.after(s.writeAt-s.simulation.network.Now(), s.written)
	}
}

// written carries out the first operation that is being written. While the disk fails, it is called again and again.
func (s *site) written() {
	operation := s.writing[0]
	if err := s.writeDurably(operation); err != nil {
		s.checkDiskFailure(err)
		s.writeAt = s.simulation.network.Now() + diskRetryPause
		s.after(diskRetryPause, s.written)
		return
	}
	s.writing = s.writing[1:]
	s.frontApplied = false
	s.recordDurable(operation)
	s.step(func(now time.Duration) { s.replica.DiskDone(now, operation.ID) })
}

func (s *site) writeDurably(operation DiskOperation) error {
	if !s.frontApplied {
		if err := s.writeOne(operation); err != nil {
			return err
		}
		s.frontApplied = true
	}
	return s.log.Sync()
}

func (s *site) writeOne(operation DiskOperation) error {
	switch {
	case operation.Append != nil:
		return s.log.Append(operation.Append...)
	case operation.Truncate != nil:
		return s.log.TruncateAfter(*operation.Truncate)
	case operation.Reset != nil:
		return s.log.Reset(*operation.Reset)
	}
	data, err := encodeRecord(*operation.Record)
	if err != nil {
		return err
	}
	return segment.SaveRecord(s.fileSystem, path.Join(siteDirectory, recordName), data)
}

func (s *site) recordDurable(operation DiskOperation) {
	switch {
	case operation.Append != nil:
		for _, entry := range operation.Append {
			s.durable[entry.Sequence] = entry.Epoch
		}
	case operation.Truncate != nil:
		maps.DeleteFunc(s.durable, func(sequence, _ uint64) bool { return sequence > *operation.Truncate })
	case operation.Reset != nil:
		clear(s.durable)
		s.durableBase = operation.Reset.Sequence
	}
}

// checkDisks checks that an entry that is about to be acknowledged is on enough disks, counting those that were lost.
func (s *simulation) checkDisks(position Position) {
	count := 0
	for _, site := range s.sites {
		if epoch, ok := site.durable[position.Sequence]; (ok && epoch == position.Epoch) || position.Sequence <= site.durableBase {
			count++
		}
	}
	if count+s.losses.unrepaired < s.policy.MinimumMembers {
		s.fatalf("entry %v is acknowledged: got %d copies, want at least %d with %d disks lost",
			position, count, s.policy.MinimumMembers, s.losses.unrepaired)
	}
}

func (s *site) snapshot() segment.Snapshot {
	return segment.Snapshot{Epoch: s.position.Epoch, Sequence: s.position.Sequence, Data: s.machine.Snapshot()}
}

func (s *site) compact() {
	if s.bytesSinceSnapshot < s.simulation.snapshotBytes {
		return
	}
	s.bytesSinceSnapshot = 0
	snapshot := s.snapshot()
	s.after(s.diskDelay, func() {
		if err := s.log.SaveSnapshot(snapshot); err != nil && !errors.Is(err, segment.ErrOutOfOrder) && !errors.Is(err, segment.ErrUnfinishedReset) {
			s.checkDiskFailure(err)
		}
	})
}
