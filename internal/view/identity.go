package view

import (
	"encoding/binary"
	"errors"
	"io/fs"
	"math/rand/v2"
	"path"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/segment"
)

const (
	// identityFile is the name of the file that holds the identity, within the directory of the replica.
	identityFile  = "replica"
	identityBytes = 8
)

// LoadIdentity returns the identity of the replica whose directory is given. An empty directory gets a new identity, which
// is durable when LoadIdentity returns, and created is true then. An identity that is damaged is an error that wraps
// segment.ErrDamaged; it is not replaced.
func LoadIdentity(fileSystem segment.FileSystem, directory string) (replica ReplicaID, created bool, err error) {
	name := path.Join(directory, identityFile)
	data, err := segment.LoadRecord(fileSystem, name)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return createIdentity(fileSystem, directory, name)
	case err != nil:
		return 0, false, merry.Prepend(err, "identity")
	case len(data) != identityBytes:
		return 0, false, merry.Errorf("%s has %d bytes", name, len(data))
	}
	return ReplicaID(binary.LittleEndian.Uint64(data)), false, nil
}

func createIdentity(fileSystem segment.FileSystem, directory, name string) (replica ReplicaID, created bool, err error) {
	if err := fileSystem.MakeDirectory(directory); err != nil {
		return 0, false, merry.Prepend(err, "identity")
	}
	replica = ReplicaID(rand.Uint64() | 1) // never zero
	data := binary.LittleEndian.AppendUint64(nil, uint64(replica))
	if err := segment.SaveRecord(fileSystem, name, data); err != nil {
		return 0, false, merry.Prepend(err, "identity")
	}
	return replica, true, nil
}
