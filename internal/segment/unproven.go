package segment

// unprovenFrames are the frames at the end of a segment that no later frame counts as synced. The process that wrote them may have been
// killed after a sync that failed: the frames can be read then, but need not be on the disk, and a further sync does not bring
// them there unless they are written again.
type unprovenFrames struct {
	contents []byte // of the segment
	offsets  []int  // of the frames, in order
	first    uint64 // ordinal of the first of them
}

// add adds the frame at an offset, and drops those that it proves to be on the disk.
func (u *unprovenFrames) add(f frame, offset int) {
	if len(u.offsets) == 0 {
		u.first = f.ordinal
	}
	u.offsets = append(u.offsets, offset)
	for u.first <= f.lastSynced() {
		u.offsets = u.offsets[1:]
		u.first++
	}
}

// rewrite writes the frames again, in a segment of which the given size is to be kept.
func (u *unprovenFrames) rewrite(file File, size int64) error {
	if len(u.offsets) == 0 {
		return nil
	}
	offset := int64(u.offsets[0])
	return file.Rewrite(u.contents[offset:size], offset)
}
