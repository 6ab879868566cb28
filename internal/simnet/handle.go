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
	applied, powerErr := h.mount.beginChange()
	if !applied {
		return 0, powerErr
	}
	defer h.mount.end()
	written := h.mount.disk.writableBytes(len(data))
	h.node.write(data[:written])
	if powerErr != nil {
		return written, powerErr
	}
	if written < len(data) {
		return written, &fs.PathError{Op: "write", Path: "file", Err: syscall.ENOSPC}
	}
	return written, nil
}

// Sync implements segment.File.
func (h *handle) Sync() error {
	h.mount.disk.waitForSync()
	applied, powerErr := h.mount.beginChange()
	if !applied {
		return powerErr
	}
	defer h.mount.end()
	if h.mount.disk.syncFails() {
		h.node.loseUnsyncedChanges(h.mount.disk.random, drawLossOutcome(h.mount.disk.random))
		return ErrSyncFailed
	}
	h.node.markSynced()
	return powerErr
}

// Truncate implements segment.File.
func (h *handle) Truncate(size int64) error {
	applied, powerErr := h.mount.beginChange()
	if !applied {
		return powerErr
	}
	defer h.mount.end()
	h.node.truncate(int(size))
	return powerErr
}

// Close implements segment.File.
func (h *handle) Close() error { return nil }
