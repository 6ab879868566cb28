package chain

import (
	"errors"
	"io/fs"
	"path"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/segment"
)

func loadRecord(options Options) (Record, error) {
	if err := options.FileSystem.MakeDirectory(options.Directory); err != nil {
		return Record{}, merry.Prepend(err, "directory")
	}
	data, err := segment.LoadRecord(options.FileSystem, path.Join(options.Directory, recordName))
	if errors.Is(err, fs.ErrNotExist) {
		return Record{}, nil
	}
	if err != nil {
		return Record{}, merry.Prependf(err, "record of chain %d", options.Chain)
	}
	return decodeRecord(data)
}

func (d *diskWriter) saveRecord(record Record) error {
	data, err := encodeRecord(record)
	if err != nil {
		return err
	}
	options := d.node.options
	return segment.SaveRecord(options.FileSystem, path.Join(options.Directory, recordName), data)
}
