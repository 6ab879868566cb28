package chain

import (
	"path"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/segment"
)

// LoseLog turns a replica whose log is damaged into one that has lost it, and has lost nothing else: its identity and the record of its view
// stay. It is for chains whose replicas have no votes. The replica is a member of its view that is not complete: it acknowledges only
// what it gets anew, and becomes complete by catching up, as a member that has just joined does. The loss counts like that of a
// disk until then. If it fails it may be called again; the error matches segment.ErrDamaged if the record is damaged, too.
func LoseLog(fileSystem segment.FileSystem, directory string) error {
	record, err := loadRecord(Options{FileSystem: fileSystem, Directory: directory})
	if err != nil {
		return err
	}
	record.CompleteEpoch = 0
	record.LostEpoch = max(record.View.Epoch, 1)
	data, err := encodeRecord(record)
	if err != nil {
		return err
	}
	if err := segment.SaveRecord(fileSystem, path.Join(directory, recordName), data); err != nil {
		return merry.Prepend(err, "record the loss of a log")
	}
	return merry.Prepend(segment.RemoveFiles(fileSystem, path.Join(directory, LogDirectory)), "remove a damaged log")
}
