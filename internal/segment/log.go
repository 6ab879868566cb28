package segment

import (
	"errors"
	"path"
	"sync"

	"github.com/ansel1/merry/v2"
)

const (
	// firstIndex is the index of the first segment and of the first snapshot of a generation.
	firstIndex = 1
	// retainedSnapshots is the number of newest snapshots that are kept.
	retainedSnapshots = 2
)

// Entry is a numbered entry of a log. Sequence numbers increase by one from entry to entry. The epoch is stored for the caller
// and not interpreted. The data must not be changed after the entry has been appended.
type Entry struct {
	Epoch    uint64
	Sequence uint64
	Data     []byte
}

// Snapshot is the state after all entries up to a sequence number.
type Snapshot struct {
	Epoch    uint64
	Sequence uint64
	Data     []byte
}

// Log is a write-ahead log on disk. Its methods may be called from several goroutines; entries may be appended while a Sync
// runs. Locks are taken in the order snapshotMutex, writeMutex, mutex.
type Log struct {
	fileSystem FileSystem
	directory  string
	options    Options

	// snapshotMutex is held while a snapshot is written.
	snapshotMutex sync.Mutex

	// writeMutex is held while files are accessed, and guards the field files.
	writeMutex sync.Mutex
	files      files

	// mutex guards the fields below.
	mutex sync.Mutex
	// pending holds frames that have been appended but not yet written.
	pending writeBuffer
	// snapshotSequence is the sequence number of the newest snapshot that may be on the disk.
	snapshotSequence uint64
	// lastSequence is the sequence number of the last entry, or of the snapshot if no entry follows it.
	lastSequence uint64
	// lastOrdinal is the ordinal of the last frame that was appended.
	lastOrdinal uint64
	// syncedOrdinal is the ordinal of the last frame that is known to be on the disk.
	syncedOrdinal uint64
	// failure is why no operation is possible, nil if there is no reason: the log is closed, or a Reset has not come to its end.
	failure error
}

// Append adds all entries or, if it fails, none. Their sequence numbers have to follow that of the last entry without a gap.
// They are on the disk once a later Sync has succeeded. The error matches ErrOutOfOrder, ErrTooLarge, ErrClosed or ErrUnfinishedReset,
// or is that of a failed write of earlier entries.
func (l *Log) Append(entries ...Entry) error {
	if l.bufferIsFull() {
		if err := l.flush(); err != nil {
			return err
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err := l.checkAppend(entries); err != nil {
		return err
	}
	for _, entry := range entries {
		l.addFrame(entryFrame, entry)
		l.lastSequence = entry.Sequence
	}
	return nil
}

func (l *Log) bufferIsFull() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.pending.size >= l.options.BufferSize
}

func (l *Log) checkAppend(entries []Entry) error {
	if l.failure != nil {
		return l.failure
	}
	next := l.lastSequence + 1
	for _, entry := range entries {
		if entry.Sequence != next {
			return merry.Prependf(ErrOutOfOrder, "append entry %d, expected %d", entry.Sequence, next)
		}
		if len(entry.Data) > MaximumEntrySize {
			return merry.Prependf(ErrTooLarge, "append entry %d of %d bytes, at most %d are allowed", entry.Sequence, len(entry.Data), MaximumEntrySize)
		}
		next++
	}
	return nil
}

func (l *Log) addFrame(kind frameKind, entry Entry) {
	f := frame{kind: kind, ordinal: l.lastOrdinal + 1, unsyncedFrames: uint32(l.lastOrdinal - l.syncedOrdinal), entry: entry}
	l.pending.add(f)
	l.lastOrdinal = f.ordinal
}

// TruncateAfter removes all entries after a sequence number, which must not be below that of the newest snapshot. The
// truncation is on the disk once a later Sync has succeeded.
func (l *Log) TruncateAfter(sequence uint64) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failure != nil {
		return l.failure
	}
	if sequence < l.snapshotSequence {
		return merry.Prependf(ErrOutOfOrder, "truncate after entry %d, before the snapshot at %d", sequence, l.snapshotSequence)
	}
	if sequence >= l.lastSequence {
		return nil
	}
	l.addFrame(truncationFrame, Entry{Sequence: sequence})
	l.lastSequence = sequence
	return nil
}

// Sync returns once everything that was appended before the call is on the disk. After an error it may be called again: it then writes
// and syncs all that was appended after the last successful Sync.
func (l *Log) Sync() error {
	l.writeMutex.Lock()
	defer l.writeMutex.Unlock()
	return l.syncFiles()
}

// LastSequence returns the sequence number of the last entry, or of the snapshot if no entry follows it.
func (l *Log) LastSequence() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lastSequence
}

// SizeSinceSnapshot returns the number of bytes that were written to segments after the newest snapshot was begun. The next
// Open has to read these in addition to the snapshot.
func (l *Log) SizeSinceSnapshot() int64 {
	l.writeMutex.Lock()
	defer l.writeMutex.Unlock()
	return l.files.sizeSinceSnapshot
}

// Close syncs the log and closes it, also if the sync fails. It does nothing if the log is already closed.
func (l *Log) Close() error {
	l.writeMutex.Lock()
	defer l.writeMutex.Unlock()
	if errors.Is(l.checkOpen(), ErrClosed) {
		return nil
	}
	err := l.syncFiles()
	if l.files.current != nil {
		_ = l.files.current.Close()
		l.files.current = nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.failure = ErrClosed
	l.pending = writeBuffer{}
	return err
}

// checkOpen returns why no operation is possible, nil if there is no reason.
func (l *Log) checkOpen() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.failure
}

// setFailure sets why no operation is possible.
func (l *Log) setFailure(reason error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.failure = reason
}

func (l *Log) path(name string) string { return joinPath(l.directory, name) }

func joinPath(directory, name string) string { return path.Join(directory, name) }
