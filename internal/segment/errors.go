package segment

import "errors"

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

// closedError matches ErrClosed and the reason why the log is closed.
type closedError struct{ reason error }

// Error implements the error interface.
func (e *closedError) Error() string { return ErrClosed.Error() + ": " + e.reason.Error() }

// Unwrap returns the errors that this one matches.
func (e *closedError) Unwrap() []error { return []error{ErrClosed, e.reason} }
