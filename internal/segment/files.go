package segment

// segmentState describes a segment file.
type segmentState struct {
	index uint64
	// highestSequence is the highest of an entry in it, including entries that were truncated later.
	highestSequence uint64
	// size is the number of bytes of whole frames in it.
	size int64
}

// files is the state of the log's files.
type files struct {
	generation uint32
	// snapshots are the retained ones, oldest first.
	snapshots    []snapshotName
	nextSnapshot uint64
	// segments are those from the first one that is read after the newest snapshot to the current one. There is always one.
	segments []segmentState
	// oldestSegment is the index of the first segment that has not been removed.
	oldestSegment uint64
	// current is nil until the current segment has been created.
	current File
	// sizeSinceSnapshot is the number of bytes that were written after the newest snapshot was begun.
	sizeSinceSnapshot int64
	// unsynced is true if the current segment was written to since it was synced.
	unsynced bool
	// newName is true if the directory has not been synced since the current segment was created.
	newName bool
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
