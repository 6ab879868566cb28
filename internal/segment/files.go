package segment

// segmentState describes a segment file.
type segmentState struct {
	index uint64
	// highestSequence is the highest sequence number of an entry in the segment, including entries that were truncated later.
	highestSequence uint64
	// size is the number of bytes of complete frames in the segment.
	size int64
	// syncedSize is how many of these bytes are known to be on the disk.
	syncedSize int64
}

// files is the state of the log's files.
type files struct {
	generation uint32
	// snapshots are the retained snapshots, oldest first.
	snapshots []snapshotName
	// nextSnapshot is the index of the next snapshot.
	nextSnapshot uint64
	// segments are the segments that Open would read in addition to the newest snapshot. The last one is the current segment.
	// There is always at least one.
	segments []segmentState
	// oldestSegment is the index of the first segment that has not been removed.
	oldestSegment uint64
	// current is the file of the current segment, nil until it has been created.
	current File
	// sizeSinceSnapshot is the number of bytes that were written to segments after the newest snapshot was begun.
	sizeSinceSnapshot int64
	// unsynced holds the frames that were written to the current segment after its last sync.
	unsynced writeBuffer
	// tailUnknown is true if a write or a sync has failed, so that it is unknown what the current segment holds after its synced
	// part. It has to be cut back before anything else is written.
	tailUnknown bool
	// directoryUnsynced is true if the directory has not been synced since the current segment was created.
	directoryUnsynced bool
	// obsolete are the names of files that are no longer needed and that are still to be removed.
	obsolete []string
}

func (f *files) currentSegment() *segmentState { return &f.segments[len(f.segments)-1] }

// names returns the names of all files.
func (f *files) names() []string {
	var names []string
	for _, snapshot := range f.snapshots {
		names = append(names, snapshot.String())
	}
	for index := f.oldestSegment; index <= f.currentSegment().index; index++ {
		names = append(names, segmentName{f.generation, index}.String())
	}
	return names
}
