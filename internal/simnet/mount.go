package simnet

import (
	"io/fs"
	"path"
	"slices"

	"nickelline/internal/segment"
)

// mount is the file system of a disk for one process.
type mount struct {
	disk       *Disk
	generation int
}

// begin locks the disk for an operation. If it returns no error, the caller has to call end.
func (m *mount) begin() error {
	m.disk.mutex.Lock()
	if m.generation != m.disk.generation {
		m.disk.mutex.Unlock()
		return ErrProcessEnded
	}
	return nil
}

// beginChange locks the disk for an operation that changes it, and reports whether the change is to be applied. If so,
// the caller has to call end. If power is lost at this operation, err is ErrProcessEnded and the change is applied or not
// at random.
func (m *mount) beginChange() (applied bool, err error) {
	if err := m.begin(); err != nil {
		return false, err
	}
	d := m.disk
	d.operations++
	if d.remainingOperations != 0 {
		d.remainingOperations--
		return true, nil
	}
	d.generation++
	if d.random.IntN(2) == 0 {
		return true, ErrProcessEnded
	}
	d.mutex.Unlock()
	return false, ErrProcessEnded
}

func (m *mount) end() { m.disk.mutex.Unlock() }

// Create implements segment.FileSystem.
func (m *mount) Create(name string) (segment.File, error) {
	applied, powerErr := m.beginChange()
	if !applied {
		return nil, powerErr
	}
	defer m.end()
	name = path.Clean(name)
	if err := m.disk.checkDirectory(name); err != nil {
		return nil, err
	}
	if node := m.disk.names[name]; node != nil {
		node.truncate(0)
		return &handle{mount: m, node: node}, powerErr
	}
	node := &inode{}
	m.disk.names[name] = node
	return &handle{mount: m, node: node}, powerErr
}

// OpenAppend implements segment.FileSystem.
func (m *mount) OpenAppend(name string) (segment.File, error) {
	if err := m.begin(); err != nil {
		return nil, err
	}
	defer m.end()
	node := m.disk.names[path.Clean(name)]
	if node == nil {
		return nil, notExist("open", name)
	}
	return &handle{mount: m, node: node}, nil
}

// ReadFile implements segment.FileSystem.
func (m *mount) ReadFile(name string) ([]byte, error) {
	if err := m.begin(); err != nil {
		return nil, err
	}
	defer m.end()
	node := m.disk.names[path.Clean(name)]
	if node == nil {
		return nil, notExist("read", name)
	}
	return slices.Clone(node.data), nil
}

// Rename implements segment.FileSystem.
func (m *mount) Rename(from, to string) error {
	applied, powerErr := m.beginChange()
	if !applied {
		return powerErr
	}
	defer m.end()
	from, to = path.Clean(from), path.Clean(to)
	node := m.disk.names[from]
	if node == nil {
		return notExist("rename", from)
	}
	if err := m.disk.checkDirectory(to); err != nil {
		return err
	}
	delete(m.disk.names, from)
	m.disk.names[to] = node
	return powerErr
}

// Remove implements segment.FileSystem.
func (m *mount) Remove(name string) error {
	applied, powerErr := m.beginChange()
	if !applied {
		return powerErr
	}
	defer m.end()
	name = path.Clean(name)
	if m.disk.names[name] == nil {
		return notExist("remove", name)
	}
	delete(m.disk.names, name)
	return powerErr
}

// List implements segment.FileSystem.
func (m *mount) List(directory string) ([]string, error) {
	if err := m.begin(); err != nil {
		return nil, err
	}
	defer m.end()
	directory = path.Clean(directory)
	if !m.disk.directories[directory] {
		return nil, notExist("list", directory)
	}
	var names []string
	for name := range m.disk.names {
		if path.Dir(name) == directory {
			names = append(names, path.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// MakeDirectory implements segment.FileSystem. Directories are durable without a sync.
func (m *mount) MakeDirectory(directory string) error {
	if err := m.begin(); err != nil {
		return err
	}
	defer m.end()
	for directory = path.Clean(directory); !m.disk.directories[directory]; directory = path.Dir(directory) {
		m.disk.directories[directory] = true
	}
	return nil
}

// SyncDirectory implements segment.FileSystem.
func (m *mount) SyncDirectory(directory string) error {
	m.disk.waitForSync()
	applied, powerErr := m.beginChange()
	if !applied {
		return powerErr
	}
	defer m.end()
	directory = path.Clean(directory)
	if !m.disk.directories[directory] {
		return notExist("sync", directory)
	}
	if m.disk.syncFails() {
		return ErrSyncFailed
	}
	m.disk.syncNames(directory)
	return powerErr
}

func (d *Disk) syncNames(directory string) {
	for name := range d.syncedNames {
		if path.Dir(name) == directory {
			delete(d.syncedNames, name)
		}
	}
	for name, node := range d.names {
		if path.Dir(name) == directory {
			d.syncedNames[name] = node
		}
	}
}

func (d *Disk) checkDirectory(name string) error {
	if directory := path.Dir(name); !d.directories[directory] {
		return notExist("open", directory)
	}
	return nil
}

func (d *Disk) syncFails() bool {
	if d.failingSyncs == 0 {
		return false
	}
	d.failingSyncs--
	return true
}

func (d *Disk) waitForSync() {
	d.mutex.Lock()
	stalled := d.stalled
	d.mutex.Unlock()
	if stalled != nil {
		<-stalled
	}
}

// writableBytes returns how many of the given number of bytes fit on the disk.
func (d *Disk) writableBytes(bytes int) int {
	if d.capacity == 0 {
		return bytes
	}
	return max(0, min(bytes, d.capacity-d.used()))
}

func notExist(operation, name string) error {
	return &fs.PathError{Op: operation, Path: name, Err: fs.ErrNotExist}
}
