package chain

import (
	"errors"
	"io/fs"
	"path"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/segment"
)

// recordName is the name of the file of the record within the directory of a chain.
const recordName = "record"

// loadRecord reads the record of a replica, which is zero if there is none yet.
func loadRecord(options Options) (Record, error) {
	if err := options.FileSystem.MakeDirectory(options.Directory); err != nil {
		return Record{}, merry.Prepend(err, "make chain directory")
	}
	data, err := segment.LoadRecord(options.FileSystem, path.Join(options.Directory, recordName))
	if errors.Is(err, fs.ErrNotExist) {
		return Record{}, nil
	}
	if err != nil {
		return Record{}, merry.Prependf(err, "load record of chain %d", options.Chain)
	}
	return decodeRecord(data)
}

// saveRecord replaces the record and returns once it is on disk.
func (d *diskWriter) saveRecord(record Record) error {
	data, err := encodeRecord(record)
	if err != nil {
		return err
	}
	options := d.node.options
	return segment.SaveRecord(options.FileSystem, path.Join(options.Directory, recordName), data)
}
