package segment

import "github.com/ansel1/merry/v2"

// takeBack makes the frames that were written after the last sync pending again, followed by those of a buffer that could not be written.
// It is unknown which of them are on the disk: after a failed sync the system may count data as written that it has lost, so that neither
// reading them nor syncing again proves anything. The segment is cut back to its synced part, now or before the next write, and
// the frames are written again.
func (l *Log) takeBack(failed writeBuffer) {
	f := &l.files
	written := f.unsynced
	f.unsynced = writeBuffer{}
	f.sizeSinceSnapshot -= int64(written.size)
	f.currentSegment().size = f.currentSegment().syncedSize
	f.tailUnknown = true
	l.restorePending(written.join(failed))
	_ = l.cutBack() // frees space on a full disk; tried again before the next write
}

// cutBack reduces the current segment to its synced part if it is unknown what follows. It opens the file anew, because the old handle
// may be of no use after a failure.
func (l *Log) cutBack() error {
	f := &l.files
	if !f.tailUnknown {
		return nil
	}
	if f.current != nil {
		_ = f.current.Close()
		f.current = nil
	}
	file, err := l.openSynced()
	if err != nil {
		return merry.Prepend(err, "cut segment back")
	}
	f.current = file
	f.tailUnknown = false
	return nil
}

// openSynced opens the current segment and reduces it to its synced part. A segment of which nothing is synced may be missing.
func (l *Log) openSynced() (File, error) {
	current := l.files.currentSegment()
	name := l.path(segmentName{l.files.generation, current.index}.String())
	if current.syncedSize == 0 {
		l.files.directoryUnsynced = true
		return l.fileSystem.Create(name)
	}
	file, err := l.fileSystem.OpenAppend(name)
	if err != nil {
		return nil, err
	}
	if err := file.Truncate(current.syncedSize); err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}
