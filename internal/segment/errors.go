package segment

import (
	"errors"
	"syscall"
)

// ErrDamaged is matched by the error for contents that were written completely and can no longer be read.
var ErrDamaged = errors.New("stored data is damaged")

// ErrClosed is matched by the error of a log that was closed, or that closed itself because the contents of the disk are
// unknown after a failed write or sync. The log has to be opened again.
var ErrClosed = errors.New("log is closed")

// ErrOutOfOrder is matched by the error for an entry that does not follow the last one, and for a truncation or a snapshot
// whose sequence number is outside the log.
var ErrOutOfOrder = errors.New("out of order")

// ErrTooLarge is matched by the error for an entry whose data is over MaximumEntrySize.
var ErrTooLarge = errors.New("entry is too large")

// errClosedByOwner is the reason that closedError names after a call of Close.
var errClosedByOwner = errors.New("closed by its owner")

// IsRefusal reports whether an error means that the disk did not take a write, as a full disk does, and that what was on it before is
// unchanged: the operation may be tried again. A failed sync of a log is no refusal, as it closes the log.
func IsRefusal(err error) bool {
	if errors.Is(err, ErrClosed) {
		return false
	}
	for _, refusal := range []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, syscall.EIO, syscall.EROFS} {
		if errors.Is(err, refusal) {
			return true
		}
	}
	return false
}

// closedError matches ErrClosed and the reason why the log is closed.
type closedError struct{ reason error }

// Error implements the error interface.
func (e *closedError) Error() string { return ErrClosed.Error() + ": " + e.reason.Error() }

// Unwrap returns the errors that this one matches.
func (e *closedError) Unwrap() []error { return []error{ErrClosed, e.reason} }
