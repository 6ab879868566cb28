package segment

import (
	"errors"
	"slices"

	"github.com/ansel1/merry/v2"
)

// SaveSnapshot saves the state after the entries up to the snapshot's sequence number, and removes segments that neither it nor
// the snapshot before it needs. Entries may be appended and synced meanwhile. If it fails, the contents of the log are unchanged, but
// they may not be truncated to before the snapshot any longer, which may be on the disk. The error matches ErrOutOfOrder if the
// sequence number is outside the log.
func (l *Log) SaveSnapshot(s Snapshot) error {
	l.snapshotMutex.Lock()
	defer l.snapshotMutex.Unlock()
	if err := l.checkSnapshot(s); err != nil {
		return err
	}
	plan, err := l.planSnapshot(s)
	if err != nil {
		return err
	}
	stored := storedSnapshot{Snapshot: s, ordinal: plan.ordinal}
	if err := saveSnapshot(l.fileSystem, l.path(plan.name.String()), stored); err != nil {
		l.dropSnapshot(plan)
		return err
	}
	return l.adoptSnapshot(plan)
}

// dropSnapshot removes a snapshot that was not saved properly.
func (l *Log) dropSnapshot(plan snapshotPlan) {
	l.writeMutex.Lock()
	defer l.writeMutex.Unlock()
	l.files.obsolete = append(l.files.obsolete, plan.name.String())
	l.removeFiles()
}

// Reset replaces the whole log by a snapshot and begins a new generation. If it fails, the log is unchanged, or the error of all further
// operations matches ErrUnfinishedReset until a Reset succeeds: the next Open may find either the former log or the snapshot.
func (l *Log) Reset(s Snapshot) error {
	l.snapshotMutex.Lock()
	defer l.snapshotMutex.Unlock()
	l.writeMutex.Lock()
	defer l.writeMutex.Unlock()
	if err := l.checkOpen(); err != nil && !errors.Is(err, ErrUnfinishedReset) {
		return err
	}
	name := snapshotName{generation: l.files.generation + 1, index: firstIndex, firstSegment: firstIndex}
	temporary := l.path(name.String()) + temporarySuffix
	if err := writeRecord(l.fileSystem, temporary, storedSnapshot{Snapshot: s}.chunks()); err != nil {
		_ = l.fileSystem.Remove(temporary)
		return errors.Join(l.checkOpen(), merry.Prepend(err, "write snapshot"))
	}
	l.setFailure(ErrUnfinishedReset)
	if err := l.fileSystem.Rename(temporary, l.path(name.String())); err != nil {
		return errors.Join(ErrUnfinishedReset, merry.Prepend(err, "rename snapshot"))
	}
	if err := l.fileSystem.SyncDirectory(l.directory); err != nil {
		return errors.Join(ErrUnfinishedReset, merry.Prepend(err, "sync directory"))
	}
	l.beginGeneration(name, s)
	return nil
}

// snapshotPlan describes a snapshot that is about to be written.
type snapshotPlan struct {
	name snapshotName
	// size is the number of bytes that were written to segments between the previous snapshot and this one.
	size int64
	// ordinal is the ordinal of the last frame that was synced before the snapshot.
	ordinal uint64
}

func (l *Log) checkSnapshot(s Snapshot) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failure != nil {
		return l.failure
	}
	if s.Sequence < l.snapshotSequence || s.Sequence > l.lastSequence {
		return merry.Prependf(ErrOutOfOrder, "save snapshot at %d in a log from %d to %d", s.Sequence, l.snapshotSequence, l.lastSequence)
	}
	return nil
}

// planSnapshot syncs the log, so that the log on disk is never behind the snapshot, and chooses the name of the snapshot.
func (l *Log) planSnapshot(s Snapshot) (snapshotPlan, error) {
	l.writeMutex.Lock()
	defer l.writeMutex.Unlock()
	if err := l.syncFiles(); err != nil {
		return snapshotPlan{}, err
	}
	f := &l.files
	name := snapshotName{generation: f.generation, index: f.nextSnapshot, firstSegment: f.currentSegment().index}
	for _, segment := range f.segments {
		if segment.highestSequence > s.Sequence {
			name.firstSegment = segment.index
			break
		}
	}
	f.nextSnapshot++
	return snapshotPlan{name: name, size: f.sizeSinceSnapshot, ordinal: l.forbidTruncation(s.Sequence)}, nil
}

// forbidTruncation forbids that the log is truncated to before a snapshot that is about to be written. It returns the ordinal of the last
// synced frame.
func (l *Log) forbidTruncation(sequence uint64) (lastSynced uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.snapshotSequence = sequence
	return l.syncedOrdinal
}

// adoptSnapshot makes the saved snapshot the newest one and removes the files that are no longer needed.
func (l *Log) adoptSnapshot(plan snapshotPlan) error {
	l.writeMutex.Lock()
	defer l.writeMutex.Unlock()
	if err := l.checkOpen(); err != nil {
		return err
	}
	f := &l.files
	f.sizeSinceSnapshot -= plan.size
	f.snapshots = append(f.snapshots, plan.name)
	for f.segments[0].index < plan.name.firstSegment {
		f.segments = f.segments[1:]
	}
	l.removeObsolete()
	return nil
}

// removeObsolete removes all but the two newest snapshots, and the segments with no entries after the older of these. It does
// not sync the directory: a file that a loss of power brings back is removed when the log is opened.
func (l *Log) removeObsolete() {
	f := &l.files
	if len(f.snapshots) < retainedSnapshots {
		return
	}
	for len(f.snapshots) > retainedSnapshots {
		f.obsolete = append(f.obsolete, f.snapshots[0].String())
		f.snapshots = f.snapshots[1:]
	}
	for ; f.oldestSegment < f.snapshots[0].firstSegment; f.oldestSegment++ {
		f.obsolete = append(f.obsolete, segmentName{f.generation, f.oldestSegment}.String())
	}
	l.removeFiles()
}

// removeFiles removes the obsolete files. Those that cannot be removed stay listed, and are removed with the next ones.
func (l *Log) removeFiles() {
	f := &l.files
	f.obsolete = slices.DeleteFunc(f.obsolete, func(name string) bool {
		return removeFiles(l.fileSystem, l.directory, []string{name}) == nil
	})
}

// beginGeneration makes a saved snapshot the only file of the log and removes the files of the previous generation.
func (l *Log) beginGeneration(name snapshotName, s Snapshot) {
	old := l.files
	if old.current != nil {
		_ = old.current.Close()
	}
	l.files = files{
		generation:    name.generation,
		snapshots:     []snapshotName{name},
		nextSnapshot:  firstIndex + 1,
		segments:      []segmentState{{index: firstIndex}},
		oldestSegment: firstIndex,
		obsolete:      append(old.obsolete, old.names()...),
	}
	l.mutex.Lock()
	l.failure = nil
	l.pending = writeBuffer{}
	l.snapshotSequence = s.Sequence
	l.lastSequence = s.Sequence
	l.lastOrdinal = 0
	l.syncedOrdinal = 0
	l.mutex.Unlock()
	l.removeFiles()
}
