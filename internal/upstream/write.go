package upstream

import (
	"errors"
	"io"
	"syscall"
)

// WriteAvailable writes as much of p as the socket accepts without waiting, which may be nothing. A short write is no error.
func (c *Conn) WriteAvailable(p []byte) (int, error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, err
	}
	var written int
	var writeErr error
	err = raw.Write(func(fd uintptr) bool {
		written, writeErr = writeNonblocking(int(fd), p)
		return true
	})
	return written, errors.Join(err, writeErr)
}

// writeNonblocking writes to a non-blocking file descriptor until all of p is written or the descriptor accepts no more.
func writeNonblocking(fd int, p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := syscall.Write(fd, p[written:])
		written += max(n, 0)
		switch {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return written, nil
		case err != nil:
			return written, err
		case n == 0:
			return written, io.ErrUnexpectedEOF
		}
	}
	return written, nil
}
