package simnet

import (
	"io/fs"
	"path"
	"slices"

	"nickelline/internal/segment"
)

// mount is the file system as a process sees it.
type mount struct {
	disk       *Disk
	generation int
}

// begin takes the disk for an operation. If it succeeds the caller has to call end.
func (m *mount) begin() error {
	m.disk.mutex.Lock()
	if m.generation != m.disk.generation {
		m.disk.mutex.Unlock()
		return ErrPowerLost
	}
	return nil
}

// beginChange takes the disk for an operation that changes it. If power is lost at this operation it happens or not.
func (m *mount) beginChange() (happens bool, err error) {
	if err := m.begin(); err != nil {
		return false, err
	}
	d := m.disk
	d.operations++
	if d.remaining != 0 {
		d.remaining--
		return true, nil
	}
	d.generation++
	if d.random.IntN(2) == 0 {
		return true, ErrPowerLost
	}
	d.mutex.Unlock()
	return false, ErrPowerLost
}

func (m *mount) end() { m.disk.mutex.Unlock() }

// Create implements segment.FileSystem.
func (m *mount) Create(name string) (segment.File, error) {
	happens, lost := m.beginChange()
	if !happens {
		return nil, lost
	}
	defer m.end()
	name = path.Clean(name)
	if err := m.disk.needDirectory(name); err != nil {
		return nil, err
	}
	if node := m.disk.names[name]; node != nil {
		node.truncate(0)
		return &handle{mount: m, node: node}, lost
	}
	node := &inode{}
	m.disk.names[name] = node
	return &handle{mount: m, node: node}, lost
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
	happens, lost := m.beginChange()
	if !happens {
		return lost
	}
	defer m.end()
	from, to = path.Clean(from), path.Clean(to)
	node := m.disk.names[from]
	if node == nil {
		return notExist("rename", from)
	}
	if err := m.disk.needDirectory(to); err != nil {
		return err
	}
	delete(m.disk.names, from)
	m.disk.names[to] = node
	return lost
}

// Remove implements segment.FileSystem.
func (m *mount) Remove(name string) error {
	happens, lost := m.beginChange()
	if !happens {
		return lost
	}
	defer m.end()
	name = path.Clean(name)
	if m.disk.names[name] == nil {
		return notExist("remove", name)
	}
	delete(m.disk.names, name)
	return lost
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

// MakeDirectory implements segment.FileSystem. Directories last at once.
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
	happens, lost := m.beginChange()
	if !happens {
		return lost
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
	return lost
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

func (d *Disk) needDirectory(name string) error {
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

// room returns how many of the bytes fit on the disk.
func (d *Disk) room(bytes int) int {
	if d.capacity == 0 {
		return bytes
	}
	return max(0, min(bytes, d.capacity-d.used()))
}

func notExist(operation, name string) error {
	return &fs.PathError{Op: operation, Path: name, Err: fs.ErrNotExist}
}
