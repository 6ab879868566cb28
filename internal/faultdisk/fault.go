package faultdisk

import (
	"slices"
	"strings"
	"syscall"
	"time"
)

// Operation is an operation of a file system.
type Operation string

// The operations that can fail.
const (
	MakeDirectory Operation = "make directory"
	List          Operation = "list"
	Read          Operation = "read"
	Open          Operation = "open"
	Create        Operation = "create"
	Write         Operation = "write"       // writes nothing
	ShortWrite    Operation = "short write" // writes half of the data
	Rewrite       Operation = "rewrite"
	Truncate      Operation = "truncate"
	SyncFile      Operation = "sync file"
	SyncDirectory Operation = "sync directory"
	Rename        Operation = "rename"
	Remove        Operation = "remove"
)

// Operations are all operations, each of which may fail alone.
var Operations = []Operation{
	MakeDirectory, List, Read, Open, Create, Write, ShortWrite, Rewrite, Truncate, SyncFile, SyncDirectory, Rename, Remove,
}

// Changes are the operations that change files or names.
var Changes = []Operation{Create, Write, ShortWrite, Rewrite, Truncate, SyncFile, SyncDirectory, Rename, Remove}

// Errors are errors with which disks fail. What a system returns depends on its kind and on the operation.
var Errors = []syscall.Errno{
	syscall.ENOSPC, syscall.EIO, syscall.EACCES, syscall.EPERM, syscall.EROFS, syscall.EDQUOT, syscall.EFBIG, syscall.ESTALE, syscall.ENOMEM,
	syscall.EMFILE, syscall.ETIMEDOUT,
}

// Fault says which operations fail, and how.
type Fault struct {
	Operations []Operation `json:"operations"`
	// Errno is the error, 0 if operations only take longer.
	Errno syscall.Errno `json:"errno"`
	// Path limits the fault to paths that contain it.
	Path string `json:"path"`
	// Delay is how much longer the operations take.
	Delay time.Duration `json:"delay"`
}

// affects reports whether an operation on a path is subject to the fault.
func (f *Fault) affects(operation Operation, path string) bool {
	return f != nil && slices.Contains(f.Operations, operation) && strings.Contains(path, f.Path)
}

// err returns the error of an operation that is subject to the fault.
func (f *Fault) err() error {
	if f.Errno == 0 {
		return nil
	}
	return f.Errno
}
