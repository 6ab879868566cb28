package faultdisk

import (
	"encoding/json"
	"os"
	"sync/atomic"
	"time"

	"nickelline/internal/segment"
)

// SourceVariable is the environment variable in which a test names, for a process that it starts, the source of its Controlled disk.
const SourceVariable = "NICKELLINE_TEST_DISK"

// Disk is a file system that fails as its fault says. Its methods may be called concurrently.
type Disk struct {
	files segment.FileSystem
	// source is a file that holds the fault as JSON, empty if Set sets the fault.
	source string
	fault  atomic.Pointer[Fault]
	hits   atomic.Int64
}

// New returns a file system with the given files, and no fault.
func New(files segment.FileSystem) *Disk { return &Disk{files: files} }

// Controlled returns a file system whose fault is read from a file before each operation. There is none while the file does not exist.
func Controlled(files segment.FileSystem, source string) *Disk {
	return &Disk{files: files, source: source}
}

// Set sets the fault; nil stands for none.
func (d *Disk) Set(fault *Fault) { d.fault.Store(fault) }

// Hits returns how many operations the faults have affected.
func (d *Disk) Hits() int64 { return d.hits.Load() }

// WriteFault writes a fault to the file that a process with a Controlled disk reads.
func WriteFault(source string, fault *Fault) error {
	data, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	temporary := source + ".temporary"
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, source)
}

// current returns the fault, nil if there is none.
func (d *Disk) current() *Fault {
	if d.source == "" {
		return d.fault.Load()
	}
	data, err := os.ReadFile(d.source)
	if err != nil {
		return nil
	}
	fault := &Fault{}
	if json.Unmarshal(data, fault) != nil {
		return nil
	}
	return fault
}

// fail returns the error of an operation that fails, nil if it does not.
func (d *Disk) fail(operation Operation, path string) error {
	fault := d.current()
	if !fault.affects(operation, path) {
		return nil
	}
	d.hits.Add(1)
	time.Sleep(fault.Delay)
	return fault.err()
}

// wrap returns a file that fails as the disk does.
func (d *Disk) wrap(file segment.File, path string, err error) (segment.File, error) {
	if err != nil {
		return nil, err
	}
	return &faultyFile{File: file, disk: d, path: path}, nil
}

// Create implements segment.FileSystem.
func (d *Disk) Create(path string) (segment.File, error) {
	if err := d.fail(Create, path); err != nil {
		return nil, err
	}
	file, err := d.files.Create(path)
	return d.wrap(file, path, err)
}

// OpenAppend implements segment.FileSystem.
func (d *Disk) OpenAppend(path string) (segment.File, error) {
	if err := d.fail(Open, path); err != nil {
		return nil, err
	}
	file, err := d.files.OpenAppend(path)
	return d.wrap(file, path, err)
}

// ReadFile implements segment.FileSystem.
func (d *Disk) ReadFile(path string) ([]byte, error) {
	if err := d.fail(Read, path); err != nil {
		return nil, err
	}
	return d.files.ReadFile(path)
}

// Rename implements segment.FileSystem.
func (d *Disk) Rename(from, to string) error {
	if err := d.fail(Rename, to); err != nil {
		return err
	}
	return d.files.Rename(from, to)
}

// Remove implements segment.FileSystem.
func (d *Disk) Remove(path string) error {
	if err := d.fail(Remove, path); err != nil {
		return err
	}
	return d.files.Remove(path)
}

// List implements segment.FileSystem.
func (d *Disk) List(directory string) ([]string, error) {
	if err := d.fail(List, directory); err != nil {
		return nil, err
	}
	return d.files.List(directory)
}

// MakeDirectory implements segment.FileSystem.
func (d *Disk) MakeDirectory(path string) error {
	if err := d.fail(MakeDirectory, path); err != nil {
		return err
	}
	return d.files.MakeDirectory(path)
}

// SyncDirectory implements segment.FileSystem.
func (d *Disk) SyncDirectory(path string) error {
	if err := d.fail(SyncDirectory, path); err != nil {
		return err
	}
	return d.files.SyncDirectory(path)
}

// faultyFile is an open file of a Disk.
type faultyFile struct {
	segment.File
	disk *Disk
	path string
}

// Write implements segment.File.
func (f *faultyFile) Write(data []byte) (int, error) {
	if err := f.disk.fail(Write, f.path); err != nil {
		return 0, err
	}
	if err := f.disk.fail(ShortWrite, f.path); err != nil {
		written, _ := f.File.Write(data[:len(data)/2])
		return written, err
	}
	return f.File.Write(data)
}

// Rewrite implements segment.File.
func (f *faultyFile) Rewrite(data []byte, offset int64) error {
	if err := f.disk.fail(Rewrite, f.path); err != nil {
		return err
	}
	return f.File.Rewrite(data, offset)
}

// Truncate implements segment.File.
func (f *faultyFile) Truncate(size int64) error {
	if err := f.disk.fail(Truncate, f.path); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// Sync implements segment.File.
func (f *faultyFile) Sync() error {
	if err := f.disk.fail(SyncFile, f.path); err != nil {
		return err
	}
	return f.File.Sync()
}
