package segment

import (
	"errors"

	"github.com/ansel1/merry/v2"
)

// recovery is the state of reading a log back.
type recovery struct {
	fileSystem FileSystem
	directory  string
	found      directoryListing
	result     Recovered

	// snapshots are the retained snapshots. The last of them is the one that was read.
	snapshots []snapshotName
	// snapshotOrdinal is storedSnapshot.ordinal of the snapshot that was read, 0 if there is none.
	snapshotOrdinal uint64
	// segments are the segments that were read.
	segments []segmentState
	// lastSequence is the sequence number of the last entry after the frames read so far have been replayed.
	lastSequence uint64
	// lastOrdinal is the ordinal of the last frame that was read.
	lastOrdinal uint64
	// unproven are the frames of the last segment that no later frame proves to be on the disk.
	unproven unprovenFrames
}

// read reads the snapshot and the segments after it. After an error the result holds what could be read before the damage. The
// entries are left out if frames from before the snapshot are missing, because these may have truncated some of the entries.
func (r *recovery) read() error {
	if err := r.readSnapshot(); err != nil {
		return err
	}
	err := r.readSegments()
	if r.lastOrdinal < r.snapshotOrdinal {
		r.result.Entries = nil
	}
	return err
}

// readSnapshot reads the newest snapshot that is not damaged.
func (r *recovery) readSnapshot() error {
	r.snapshots = r.found.snapshots
	var cause error
	for len(r.snapshots) > 0 {
		snapshot, err := loadSnapshot(r.fileSystem, joinPath(r.directory, r.snapshots[len(r.snapshots)-1].String()))
		if err == nil {
			r.adoptSnapshot(snapshot)
			return nil
		}
		if !errors.Is(err, ErrDamaged) {
			return merry.Prepend(err, "read snapshot")
		}
		cause = err
		r.snapshots = r.snapshots[:len(r.snapshots)-1]
		r.result.DamagedSnapshots++
	}
	if r.found.generation > 0 {
		return merry.Prependf(ErrDamaged, "no snapshot of generation %d", r.found.generation)
	}
	if len(r.found.segments) > 0 {
		return nil
	}
	return cause
}

func (r *recovery) adoptSnapshot(stored *storedSnapshot) {
	r.result.Snapshot = &stored.Snapshot
	r.lastSequence = stored.Sequence
	r.snapshotOrdinal = stored.ordinal
}

// firstSegment returns the index of the first segment after the snapshot that was read.
func (r *recovery) firstSegment() uint64 {
	if len(r.snapshots) == 0 {
		return firstIndex
	}
	return r.snapshots[len(r.snapshots)-1].firstSegment
}

// readSegments replays the segments after the snapshot, which must be there without a gap.
func (r *recovery) readSegments() error {
	next := r.firstSegment()
	for i, name := range r.found.segments {
		if name.index < next {
			continue
		}
		if name.index != next {
			return merry.Prependf(ErrDamaged, "segment %d is missing", next)
		}
		if err := r.readSegment(name, i == len(r.found.segments)-1); err != nil {
			return merry.Prependf(err, "segment %d", name.index)
		}
		next++
	}
	if r.lastOrdinal < r.snapshotOrdinal {
		return merry.Prependf(ErrDamaged, "frames end at %d, but the snapshot was begun after frame %d", r.lastOrdinal, r.snapshotOrdinal)
	}
	return nil
}

// readSegment replays the frames of a segment. Only the last segment may have a torn tail.
func (r *recovery) readSegment(name segmentName, last bool) error {
	contents, err := r.fileSystem.ReadFile(joinPath(r.directory, name.String()))
	if err != nil {
		return err
	}
	r.segments = append(r.segments, segmentState{index: name.index})
	r.unproven = unprovenFrames{contents: contents}
	size, err := r.replayFrames(contents)
	if err != nil {
		return err
	}
	r.segments[len(r.segments)-1].size = int64(size)
	r.segments[len(r.segments)-1].syncedSize = int64(size)
	tail := contents[size:]
	if len(tail) == 0 {
		return nil
	}
	if !last || provesSynced(tail, r.lastOrdinal+1) {
		return merry.Prependf(ErrDamaged, "frame after entry %d at offset %d", r.lastSequence, size)
	}
	r.result.TruncatedBytes = len(tail)
	return nil
}

// replayFrames replays the frames at the start of the contents up to the first one that is torn or damaged, and returns the
// size of the replayed frames in bytes.
func (r *recovery) replayFrames(contents []byte) (size int, err error) {
	for size < len(contents) {
		f, ok := decodeFrame(contents[size:])
		if !ok || !r.isNext(f) {
			break
		}
		if err := r.replay(f); err != nil {
			return size, err
		}
		r.unproven.add(f, size)
		size += f.size()
	}
	return size, nil
}

// isNext reports whether a frame may follow the last one that was read. The first frame may have any ordinal.
func (r *recovery) isNext(f frame) bool {
	return r.lastOrdinal == 0 || f.ordinal == r.lastOrdinal+1
}

// replay applies a frame to the recovered contents. Entries that the snapshot covers are only checked.
func (r *recovery) replay(f frame) error {
	first := r.lastOrdinal == 0
	r.lastOrdinal = f.ordinal
	if f.kind == truncationFrame {
		return r.truncate(f.entry.Sequence)
	}
	segment := &r.segments[len(r.segments)-1]
	segment.highestSequence = max(segment.highestSequence, f.entry.Sequence)
	covered := r.snapshotSequence()
	if f.entry.Sequence != r.lastSequence+1 && (!first || f.entry.Sequence > covered+1) {
		return merry.Prependf(ErrDamaged, "entry %d follows %d", f.entry.Sequence, r.lastSequence)
	}
	r.lastSequence = f.entry.Sequence
	if f.entry.Sequence > covered {
		r.result.Entries = append(r.result.Entries, f.entry)
	}
	return nil
}

// truncate removes the recovered entries after a sequence number.
func (r *recovery) truncate(sequence uint64) error {
	covered := r.snapshotSequence()
	if sequence > covered+uint64(len(r.result.Entries)) {
		return merry.Prependf(ErrDamaged, "truncation to %d follows entry %d", sequence, r.lastSequence)
	}
	r.lastSequence = sequence
	remaining := 0
	if sequence > covered {
		remaining = int(sequence - covered)
	}
	r.result.Entries = r.result.Entries[:remaining]
	return nil
}

// snapshotSequence returns the sequence number of the snapshot that was read, 0 if there is none.
func (r *recovery) snapshotSequence() uint64 {
	if r.result.Snapshot == nil {
		return 0
	}
	return r.result.Snapshot.Sequence
}
