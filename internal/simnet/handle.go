package simnet

import (
	"errors"
	"fmt"
	"io/fs"
	"syscall"

	"nickelline/internal/segment"
)

// handle is an open file.
type handle struct {
	mount *mount
	node  *inode
}

// Write implements segment.File.
func (h *handle) Write(data []byte) (int, error) {
	applied, failure := h.mount.beginChange("write")
	if !applied {
		return 0, failure
	}
	defer h.mount.end()
	written := h.mount.disk.writableBytes(len(data))
	if errors.Is(failure, ErrFailed) {
		written = h.mount.disk.random.IntN(written + 1)
	}
	h.node.write(data[:written])
	if failure != nil {
		return written, failure
	}
	if written < len(data) {
		return written, &fs.PathError{Op: "write", Path: "file", Err: syscall.ENOSPC}
	}
	return written, nil
}

// Sync implements segment.File.
func (h *handle) Sync() error {
	h.mount.disk.waitForSync()
	applied, failure := h.mount.beginChange("sync")
	if !applied {
		return failure
	}
	defer h.mount.end()
	if h.mount.disk.syncFails() {
		failure = ErrSyncFailed
	}
	if failure != nil && !errors.Is(failure, ErrProcessEnded) {
		h.node.failSync(h.mount.disk.random, drawLossOutcome(h.mount.disk.random))
		return failure
	}
	h.node.sync()
	return failure
}

// Truncate implements segment.File.
func (h *handle) Truncate(size int64) error {
	applied, failure := h.mount.beginChange("truncate")
	if !applied {
		return failure
	}
	defer h.mount.end()
	if int(size) > len(h.node.data) {
		return fmt.Errorf("%w: the file has %d bytes, fewer than %d", segment.ErrDamaged, len(h.node.data), size)
	}
	h.node.truncate(int(size))
	return failure
}

// Rewrite implements segment.File.
func (h *handle) Rewrite(data []byte, offset int64) error {
	applied, failure := h.mount.beginChange("rewrite")
	if !applied {
		return failure
	}
	defer h.mount.end()
	h.node.rewrite(data, int(offset))
	return failure
}

// Close implements segment.File.
func (h *handle) Close() error { return nil }
