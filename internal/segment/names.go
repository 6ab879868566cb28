package segment

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
)

const (
	segmentFormat  = "%08x-%016x.segment"
	snapshotFormat = "%08x-%016x-%016x.snapshot"
)

// snapshotName holds the fields in the name of a snapshot file.
type snapshotName struct {
	generation uint32
	index      uint64
	// firstSegment is the index of the first segment with entries after the snapshot.
	firstSegment uint64
}

// String returns the name of the file.
func (n snapshotName) String() string {
	return fmt.Sprintf(snapshotFormat, n.generation, n.index, n.firstSegment)
}

// segmentName holds the fields in the name of a segment file.
type segmentName struct {
	generation uint32
	index      uint64
}

// String returns the name of the file.
func (n segmentName) String() string { return fmt.Sprintf(segmentFormat, n.generation, n.index) }

// directoryListing lists the log's files in a directory.
type directoryListing struct {
	generation uint32
	// snapshots and segments are the files of the generation, each in order of their index.
	snapshots []snapshotName
	segments  []segmentName
	// obsolete are the names of temporary files and of the files of older generations.
	obsolete []string
}

// listDirectory lists the log's files of the newest generation. Names that are not in the format of the log are ignored.
func listDirectory(fileSystem FileSystem, directory string) (directoryListing, error) {
	names, err := fileSystem.List(directory)
	if err != nil {
		return directoryListing{}, merry.Prepend(err, "list directory")
	}
	var all directoryListing
	for _, name := range names {
		all.add(name)
	}
	return all.newestGeneration(), nil
}

// add adds a file of any generation, and ignores names that are not in the format of the log.
func (d *directoryListing) add(name string) {
	var snapshot snapshotName
	var segment segmentName
	complete, temporary := strings.CutSuffix(name, temporarySuffix)
	switch {
	case parseName(complete, snapshotFormat, &snapshot.generation, &snapshot.index, &snapshot.firstSegment):
		if temporary {
			d.obsolete = append(d.obsolete, name)
			return
		}
		d.snapshots = append(d.snapshots, snapshot)
	case parseName(name, segmentFormat, &segment.generation, &segment.index):
		d.segments = append(d.segments, segment)
	}
}

// parseName parses the fields of a file name, and reports whether formatting these fields gives exactly this name.
func parseName(name, format string, fields ...any) bool {
	if count, err := fmt.Sscanf(name, format, fields...); err != nil || count != len(fields) {
		return false
	}
	for i, field := range fields {
		switch number := field.(type) {
		case *uint32:
			fields[i] = *number
		case *uint64:
			fields[i] = *number
		}
	}
	return name == fmt.Sprintf(format, fields...)
}

// newestGeneration returns the files of the newest generation, sorted by index, and all others as obsolete.
func (d directoryListing) newestGeneration() directoryListing {
	newest := directoryListing{generation: d.highestGeneration(), obsolete: d.obsolete}
	for _, snapshot := range d.snapshots {
		if snapshot.generation == newest.generation {
			newest.snapshots = append(newest.snapshots, snapshot)
		} else {
			newest.obsolete = append(newest.obsolete, snapshot.String())
		}
	}
	for _, segment := range d.segments {
		if segment.generation == newest.generation {
			newest.segments = append(newest.segments, segment)
		} else {
			newest.obsolete = append(newest.obsolete, segment.String())
		}
	}
	slices.SortFunc(newest.snapshots, func(a, b snapshotName) int { return cmp.Compare(a.index, b.index) })
	slices.SortFunc(newest.segments, func(a, b segmentName) int { return cmp.Compare(a.index, b.index) })
	return newest
}

func (d directoryListing) highestGeneration() uint32 {
	highest := uint32(0)
	for _, snapshot := range d.snapshots {
		highest = max(highest, snapshot.generation)
	}
	for _, segment := range d.segments {
		highest = max(highest, segment.generation)
	}
	return highest
}
