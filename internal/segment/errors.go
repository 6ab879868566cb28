package segment

import "errors"

// ErrDamaged is matched by the error for contents that were written completely and can no longer be read.
var ErrDamaged = errors.New("stored data is damaged")

// ErrClosed is matched by the error of a log that was closed.
var ErrClosed = errors.New("log is closed")

// ErrUnfinishedReset is matched by the error of all operations after a Reset that failed midway, until a Reset succeeds.
var ErrUnfinishedReset = errors.New("the log is being reset")

// ErrOutOfOrder is matched by the error for an entry that does not follow the last one, and for a truncation or a snapshot
// whose sequence number is outside the log.
var ErrOutOfOrder = errors.New("out of order")

// ErrTooLarge is matched by the error for an entry whose data is over MaximumEntrySize.
var ErrTooLarge = errors.New("entry is too large")

// IsTransient reports whether an operation of this package that failed with an error may succeed if it is tried again. That
// holds for every failure of a disk, whatever the system calls it: full and failing disks are reported with many errors, by different
// operations. It does not hold if stored data is damaged, the log is closed, or the caller asked for what the log cannot do.
func IsTransient(err error) bool {
	for _, lasting := range []error{ErrDamaged, ErrClosed, ErrOutOfOrder, ErrTooLarge} {
		if errors.Is(err, lasting) {
			return false
		}
	}
	return err != nil
}
