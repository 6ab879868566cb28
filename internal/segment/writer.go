package segment

import "github.com/ansel1/merry/v2"

// flush writes the pending frames to the current segment.
func (l *Log) flush() error {
	l.writeMutex.Lock()
	defer l.writeMutex.Unlock()
	return l.writePending()
}

// syncFiles writes the pending frames and syncs them. The caller holds writeMutex, as for all methods below.
func (l *Log) syncFiles() error {
	if err := l.writePending(); err != nil {
		return err
	}
	return l.syncCurrent()
}

// writePending writes the pending frames. If a write fails, it truncates the file to its previous size, and the frames stay
// pending; if the truncation fails too, the log is closed.
func (l *Log) writePending() error {
	if pending, err := l.hasPending(); err != nil || !pending {
		return err
	}
	if err := l.prepareSegment(); err != nil {
		return err
	}
	pending := l.takePending()
	for _, chunk := range pending.chunks {
		if err := l.writeChunk(chunk); err != nil {
			return l.undoWrite(pending, err)
		}
	}
	l.files.recordWrite(pending)
	return nil
}

// recordWrite records that the frames of a buffer were written to the current segment.
func (f *files) recordWrite(b writeBuffer) {
	f.sizeSinceSnapshot += int64(b.size)
	segment := f.currentSegment()
	segment.size += int64(b.size)
	segment.highestSequence = max(segment.highestSequence, b.highestSequence)
}

func (l *Log) writeChunk(chunk []byte) error {
	if len(chunk) == 0 {
		return nil
	}
	l.files.unsynced = true
	_, err := l.files.current.Write(chunk)
	return err
}

func (l *Log) hasPending() (bool, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.pending.size > 0, l.failure
}

func (l *Log) takePending() writeBuffer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	pending := l.pending
	l.pending = writeBuffer{}
	return pending
}

func (l *Log) restorePending(pending writeBuffer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pending = pending.join(l.pending)
}

// undoWrite removes what a failed write may have left in the current segment, and restores the pending frames.
func (l *Log) undoWrite(pending writeBuffer, cause error) error {
	if err := l.files.current.Truncate(l.files.currentSegment().size); err != nil {
		return l.fail(merry.Prepend(cause, "write segment"))
	}
	l.restorePending(pending)
	return merry.Prepend(cause, "write segment")
}

// prepareSegment opens a segment for writing if there is none, or if the current one has reached its size.
func (l *Log) prepareSegment() error {
	f := &l.files
	if f.current != nil && f.currentSegment().size < int64(l.options.SegmentSize) {
		return nil
	}
	index := f.currentSegment().index
	if f.current != nil {
		if err := l.syncCurrent(); err != nil {
			return err
		}
		index++
	}
	file, err := l.fileSystem.Create(l.path(segmentName{f.generation, index}.String()))
	if err != nil {
		return merry.Prepend(err, "create segment")
	}
	l.switchSegment(index, file)
	return nil
}

// switchSegment makes a new, empty file the current segment.
func (l *Log) switchSegment(index uint64, file File) {
	f := &l.files
	if f.current != nil {
		_ = f.current.Close()
		f.segments = append(f.segments, segmentState{index: index})
	}
	f.current = file
	f.directoryUnsynced = true
}

// syncCurrent syncs the current segment, and the directory if the segment is new. If that fails, the log is closed.
func (l *Log) syncCurrent() error {
	f := &l.files
	if err := l.checkOpen(); err != nil {
		return err
	}
	if !f.unsynced {
		return nil
	}
	if err := f.current.Sync(); err != nil {
		return l.fail(merry.Prepend(err, "sync segment"))
	}
	if f.directoryUnsynced {
		if err := l.fileSystem.SyncDirectory(l.directory); err != nil {
			return l.fail(merry.Prepend(err, "sync directory"))
		}
	}
	f.unsynced = false
	f.directoryUnsynced = false
	l.markSynced()
	return nil
}

// markSynced records that all frames except the pending ones are on the disk.
func (l *Log) markSynced() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.syncedOrdinal = l.lastOrdinal - l.pending.frames
}
