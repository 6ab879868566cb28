package simnet

import (
	"fmt"
	"io/fs"
	"path"
	"slices"
	"syscall"

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

// beginRead locks the disk for an operation that reads from it, which fails at times if FailOneIn says so. If it returns no error, the
// caller has to call end.
func (m *mount) beginRead(operation string) error {
	if err := m.begin(); err != nil {
		return err
	}
	if err := m.disk.drawFailure(operation); err != nil {
		m.end()
		return err
	}
	return nil
}

// beginChange locks the disk for an operation that changes it, and reports whether the change is to be applied. If so,
// the caller has to call end. If power is lost at this operation, err is ErrProcessEnded, and if it fails, err says so; the change
// is applied or not at random then.
func (m *mount) beginChange(operation string) (applied bool, err error) {
	if err := m.begin(); err != nil {
		return false, err
	}
	d := m.disk
	d.operations++
	if err = d.endOrFail(operation); err == nil {
		return true, nil
	}
	if d.random.IntN(2) == 0 {
		return true, err
	}
	d.mutex.Unlock()
	return false, err
}

func (m *mount) end() { m.disk.mutex.Unlock() }

// Create implements segment.FileSystem.
func (m *mount) Create(name string) (segment.File, error) {
	applied, failure := m.beginChange("create")
	if !applied {
		return nil, failure
	}
	defer m.end()
	name = path.Clean(name)
	if err := m.disk.checkDirectory(name); err != nil {
		return nil, err
	}
	if node := m.disk.names[name]; node != nil {
		node.truncate(0)
		return m.opened(node, failure)
	}
	node := &inode{}
	m.disk.names[name] = node
	return m.opened(node, failure)
}

// opened returns a handle of a file, or the failure of the operation that was to open it.
func (m *mount) opened(node *inode, failure error) (segment.File, error) {
	if failure != nil {
		return nil, failure
	}
	return &handle{mount: m, node: node}, nil
}

// OpenAppend implements segment.FileSystem.
func (m *mount) OpenAppend(name string) (segment.File, error) {
	if err := m.beginRead("open"); err != nil {
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
	if err := m.beginRead("read"); err != nil {
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
	applied, failure := m.beginChange("rename")
	if !applied {
		return failure
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
	return failure
}

// Remove implements segment.FileSystem.
func (m *mount) Remove(name string) error {
	applied, failure := m.beginChange("remove")
	if !applied {
		return failure
	}
	defer m.end()
	name = path.Clean(name)
	if m.disk.names[name] == nil {
		return notExist("remove", name)
	}
	delete(m.disk.names, name)
	return failure
}

// List implements segment.FileSystem.
func (m *mount) List(directory string) ([]string, error) {
	if err := m.beginRead("list"); err != nil {
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
	for name := range m.disk.directories {
		if path.Dir(name) == directory && name != directory {
			names = append(names, path.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// MakeDirectory implements segment.FileSystem. Directories are durable without a sync.
func (m *mount) MakeDirectory(directory string) error {
	if err := m.beginRead("make directory"); err != nil {
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
	applied, failure := m.beginChange("sync directory")
	if !applied {
		return failure
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
	return failure
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

// failures are the errors that FailOneIn draws from.
var failures = []syscall.Errno{syscall.EIO, syscall.ENOSPC, syscall.EACCES, syscall.EDQUOT, syscall.EROFS, syscall.ENOMEM, syscall.ESTALE}

// endOrFail counts an operation that changes the disk. It returns an error if power is lost at this operation, or it is to fail.
func (d *Disk) endOrFail(operation string) error {
	if d.remainingOperations == 0 {
		d.generation++
		return ErrProcessEnded
	}
	d.remainingOperations--
	return d.drawFailure(operation)
}

// drawFailure returns an error if the operation that begins is to fail.
func (d *Disk) drawFailure(operation string) error {
	if d.failingOneIn == 0 || d.random.IntN(d.failingOneIn) != 0 {
		return nil
	}
	return fmt.Errorf("%w: %s: %w", ErrFailed, operation, failures[d.random.IntN(len(failures))])
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
