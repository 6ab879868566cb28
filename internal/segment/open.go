package segment

import "github.com/ansel1/merry/v2"

// Recovered holds the contents of a log that Open has read.
type Recovered struct {
	// Snapshot is the newest snapshot that could be read, nil if there is none.
	Snapshot *Snapshot
	// Entries are the entries after the snapshot.
	Entries []Entry
	// TruncatedBytes is the size of the torn tail that was truncated.
	TruncatedBytes int
	// DamagedSnapshots is the number of damaged snapshots that are newer than Snapshot.
	DamagedSnapshots int
}

// Open opens the log in a directory, or creates it if there is none. If it succeeds, the recovered contents are durable. If the
// error matches ErrDamaged, the recovered contents are those that could be read before the damage; the directory is unchanged,
// and Clear removes the log from it.
func Open(fileSystem FileSystem, directory string, options Options) (*Log, Recovered, error) {
	if err := fileSystem.MakeDirectory(directory); err != nil {
		return nil, Recovered{}, merry.Prepend(err, "make directory")
	}
	found, err := listDirectory(fileSystem, directory)
	if err != nil {
		return nil, Recovered{}, err
	}
	r := recovery{fileSystem: fileSystem, directory: directory, found: found}
	if err := r.read(); err != nil {
		return nil, r.result, err
	}
	log := &Log{fileSystem: fileSystem, directory: directory, options: options.withDefaults()}
	if err := r.resume(log); err != nil {
		return nil, r.result, err
	}
	return log, r.result, nil
}
