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

// writePending writes the pending frames. If a write fails, the frames are pending again.
func (l *Log) writePending() error {
	if pending, err := l.hasPending(); err != nil || !pending {
		return err
	}
	if err := l.cutBack(); err != nil {
		return err
	}
	if err := l.prepareSegment(); err != nil {
		return err
	}
	pending := l.takePending()
	for _, chunk := range pending.chunks {
		if err := l.writeChunk(chunk); err != nil {
			l.takeBack(pending)
			return merry.Prepend(err, "write segment")
		}
	}
	l.files.recordWrite(pending)
	return nil
}

// recordWrite records that the frames of a buffer were written to the current segment.
func (f *files) recordWrite(b writeBuffer) {
	f.unsynced = f.unsynced.join(b)
	f.sizeSinceSnapshot += int64(b.size)
	segment := f.currentSegment()
	segment.size += int64(b.size)
	segment.highestSequence = max(segment.highestSequence, b.highestSequence)
}

func (l *Log) writeChunk(chunk []byte) error {
	if len(chunk) == 0 {
		return nil
	}
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

// syncCurrent syncs the current segment, and the directory if the segment is new. If that fails, the frames that were written after the
// last sync are pending again.
func (l *Log) syncCurrent() error {
	f := &l.files
	if err := l.checkOpen(); err != nil {
		return err
	}
	if f.unsynced.size == 0 {
		return nil
	}
	if err := f.current.Sync(); err != nil {
		l.takeBack(writeBuffer{})
		return merry.Prepend(err, "sync segment")
	}
	if f.directoryUnsynced {
		if err := l.fileSystem.SyncDirectory(l.directory); err != nil {
			return merry.Prepend(err, "sync directory")
		}
	}
	f.unsynced = writeBuffer{}
	f.directoryUnsynced = false
	f.currentSegment().syncedSize = f.currentSegment().size
	l.markSynced()
	return nil
}

// markSynced records that all frames except the pending ones are on the disk.
func (l *Log) markSynced() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.syncedOrdinal = l.lastOrdinal - l.pending.frames
}
