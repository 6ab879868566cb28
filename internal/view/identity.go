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
	// identityFile is the name of the identity file in the directory of the replica.
	identityFile  = "replica"
	identityBytes = 8
)

// LoadIdentity returns the identity of the replica that is stored in a directory. If the directory holds none, LoadIdentity
// creates a new identity, which is durable when it returns, and created is true. A damaged identity is not replaced: the error
// matches segment.ErrDamaged.
func LoadIdentity(fileSystem segment.FileSystem, directory string) (replica ReplicaID, created bool, err error) {
	name := path.Join(directory, identityFile)
	data, err := segment.LoadRecord(fileSystem, name)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return createIdentity(fileSystem, directory, name)
	case err != nil:
		return 0, false, merry.Prepend(err, "load identity")
	case len(data) != identityBytes:
		return 0, false, merry.Errorf("identity file %s has %d bytes, want %d", name, len(data), identityBytes)
	}
	return ReplicaID(binary.LittleEndian.Uint64(data)), false, nil
}

func createIdentity(fileSystem segment.FileSystem, directory, name string) (replica ReplicaID, created bool, err error) {
	if err := fileSystem.MakeDirectory(directory); err != nil {
		return 0, false, merry.Prepend(err, "make directory of identity")
	}
	replica = ReplicaID(rand.Uint64() | 1) // never zero, which stands for no replica
	data := binary.LittleEndian.AppendUint64(nil, uint64(replica))
	if err := segment.SaveRecord(fileSystem, name, data); err != nil {
		return 0, false, merry.Prepend(err, "save identity")
	}
	return replica, true, nil
}
