package segment

import (
	"slices"

	"github.com/ansel1/merry/v2"
)

// resume prepares the log for further entries and makes the recovered contents durable.
func (r *recovery) resume(log *Log) error {
	r.snapshots = r.snapshots[max(0, len(r.snapshots)-retainedSnapshots):]
	obsolete := append(r.obsoleteFiles(), r.dropEmptySegment()...)
	if err := r.syncNames(obsolete); err != nil {
		return err
	}
	if err := removeFiles(r.fileSystem, r.directory, obsolete); err != nil {
		return err
	}
	log.files = files{
		generation:        r.found.generation,
		snapshots:         r.snapshots,
		nextSnapshot:      r.nextSnapshot(),
		segments:          r.segments,
		oldestSegment:     r.oldestSegment(),
		sizeSinceSnapshot: r.sizeSinceSnapshot(),
	}
	log.snapshotSequence = r.snapshotSequence()
	log.lastSequence = r.lastSequence
	log.lastOrdinal = r.lastOrdinal
	log.syncedOrdinal = r.lastOrdinal
	if len(r.segments) == 0 {
		log.files.segments = []segmentState{{index: firstIndex}}
		return nil
	}
	return r.openCurrent(log)
}

// syncNames syncs the directory if the log would otherwise rest on a name that is not on the disk yet, because a process that was killed
// has given it to a snapshot: before files are removed that this snapshot replaces, and if no segment follows it, as the
// directory is not synced again then.
func (r *recovery) syncNames(obsolete []string) error {
	if len(r.snapshots) == 0 || len(obsolete) == 0 && len(r.segments) > 0 {
		return nil
	}
	if err := r.fileSystem.SyncDirectory(r.directory); err != nil {
		return merry.Prepend(err, "sync directory")
	}
	return nil
}

// obsoleteFiles returns the names of files that are no longer needed. These include files that were removed before and that a
// loss of power brought back.
func (r *recovery) obsoleteFiles() []string {
	names := r.found.obsolete
	for _, name := range r.found.snapshots {
		if !slices.Contains(r.snapshots, name) {
			names = append(names, name.String())
		}
	}
	for _, name := range r.found.segments {
		if name.index < r.oldestSegment() {
			names = append(names, name.String())
		}
	}
	return names
}

// dropEmptySegment drops the last segment if it holds no frame and is not the only one, and returns its name.
func (r *recovery) dropEmptySegment() []string {
	last := len(r.segments) - 1
	if last <= 0 || r.segments[last].size > 0 {
		return nil
	}
	name := segmentName{r.found.generation, r.segments[last].index}
	r.segments = r.segments[:last]
	return []string{name.String()}
}

// oldestSegment returns the index of the oldest segment to keep: the first one with entries after the older of the two retained
// snapshots. While there are fewer snapshots, all segments are kept.
func (r *recovery) oldestSegment() uint64 {
	if len(r.snapshots) < retainedSnapshots {
		return firstIndex
	}
	return r.snapshots[0].firstSegment
}

// nextSnapshot returns the index of the snapshot that will be saved next.
func (r *recovery) nextSnapshot() uint64 {
	if len(r.found.snapshots) == 0 {
		return firstIndex
	}
	return r.found.snapshots[len(r.found.snapshots)-1].index + 1
}

// sizeSinceSnapshot returns the number of bytes in the segments that were read.
func (r *recovery) sizeSinceSnapshot() int64 {
	size := int64(0)
	for _, segment := range r.segments {
		size += segment.size
	}
	return size
}

// openCurrent opens the last segment, truncates a torn tail, writes again what is not proven to be on the disk, and syncs the file,
// because a process that was killed may have left writes that are not on the disk.
func (r *recovery) openCurrent(log *Log) error {
	current := log.files.currentSegment()
	file, err := r.fileSystem.OpenAppend(log.path(segmentName{r.found.generation, current.index}.String()))
	if err != nil {
		return merry.Prepend(err, "open segment")
	}
	if err := r.syncRecovered(file, current.size); err != nil {
		_ = file.Close()
		return err
	}
	log.files.current = file
	return nil
}

// syncRecovered truncates a segment to its complete frames, writes the unproven ones of them again, and syncs it. It truncates the segment
// even if no torn tail can be read: one that an earlier process has cut off may still be on the disk, if the sync after that failed.
func (r *recovery) syncRecovered(file File, size int64) error {
	if err := file.Truncate(size); err != nil {
		return merry.Prepend(err, "truncate torn tail")
	}
	if err := r.unproven.rewrite(file, size); err != nil {
		return merry.Prepend(err, "write unproven frames")
	}
	if err := file.Sync(); err != nil {
		return merry.Prepend(err, "sync segment")
	}
	if err := r.fileSystem.SyncDirectory(r.directory); err != nil {
		return merry.Prepend(err, "sync directory")
	}
	return nil
}
