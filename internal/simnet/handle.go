package simnet

import (
	"io/fs"
	"syscall"
)

// handle is an open file.
type handle struct {
	mount *mount
	node  *inode
}

// Write implements segment.File.
func (h *handle) Write(data []byte) (int, error) {
	happens, lost := h.mount.beginChange()
	if !happens {
		return 0, lost
	}
	defer h.mount.end()
	written := h.mount.disk.room(len(data))
	h.node.write(data[:written])
	if lost != nil {
		return written, lost
	}
	if written < len(data) {
		return written, &fs.PathError{Op: "write", Path: "file", Err: syscall.ENOSPC}
	}
	return written, nil
}

// Sync implements segment.File.
func (h *handle) Sync() error {
	h.mount.disk.waitForSync()
	happens, lost := h.mount.beginChange()
	if !happens {
		return lost
	}
	defer h.mount.end()
	if h.mount.disk.syncFails() {
		h.node.losePower(h.mount.disk.random, drawLossOutcome(h.mount.disk.random))
		return ErrSyncFailed
	}
	h.node.markSynced()
	return lost
}

// Truncate implements segment.File.
func (h *handle) Truncate(size int64) error {
	happens, lost := h.mount.beginChange()
	if !happens {
		return lost
	}
	defer h.mount.end()
	h.node.truncate(int(size))
	return lost
}

// Close implements segment.File.
func (h *handle) Close() error { return nil }
