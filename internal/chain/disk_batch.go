package chain

import (
	"errors"
	"time"

	"nickelline/internal/segment"
)

// diskRetryPause is the pause before operations that have failed are tried again.
const diskRetryPause = 100 * time.Millisecond

// errWriterStopped is the error of operations that failed until the writer was stopped.
var errWriterStopped = errors.New("the disk writer was stopped")

// writeUntilDone carries out operations, and returns once they are on disk. While the disk fails, it tries again.
func (d *diskWriter) writeUntilDone(operations []DiskOperation) error {
	b := diskBatch{remaining: operations}
	for {
		err := d.write(&b)
		if err == nil {
			d.node.diskHealth.succeed(logTask)
			return nil
		}
		if !segment.IsTransient(err) {
			return err
		}
		if d.node.diskHealth.fail(logTask, err) && d.onStall != nil {
			d.onStall()
		}
		if !d.pause(diskRetryPause) {
			return errWriterStopped
		}
	}
}

// pause waits, and reports whether the writer has not been stopped meanwhile.
func (d *diskWriter) pause(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-d.quit:
		return false
	case <-timer.C:
		return true
	}
}

// diskBatch holds operations that are carried out together, and how far that has got.
type diskBatch struct {
	remaining []DiskOperation // not carried out yet
	unsynced  bool            // the log needs a sync for the operations that were carried out
}

// write carries out the remaining operations, and returns once they are on disk. After an error it may be called again.
func (d *diskWriter) write(b *diskBatch) error {
	for len(b.remaining) > 0 {
		operation := b.remaining[0]
		if err := d.writeOne(operation); err != nil {
			return err
		}
		b.remaining = b.remaining[1:]
		b.unsynced = b.unsynced || operation.Append != nil || operation.Truncate != nil
	}
	if !b.unsynced {
		return nil
	}
	return d.log.Sync()
}

// writeOne carries out an operation. Append and Truncate still need a sync of the log.
func (d *diskWriter) writeOne(operation DiskOperation) error {
	switch {
	case operation.Append != nil:
		return d.log.Append(operation.Append...)
	case operation.Truncate != nil:
		return d.log.TruncateAfter(*operation.Truncate)
	case operation.Reset != nil:
		return d.log.Reset(*operation.Reset)
	}
	return d.saveRecord(*operation.Record)
}
