package chain

import (
	"sync"
	"time"

	"nickelline/internal/segment"
)

// diskWriter carries out the disk operations of a node in order. Operations that are queued together share one sync.
type diskWriter struct {
	node *Node
	log  *segment.Log
	wake chan struct{}
	quit chan struct{}
	done chan struct{}

	mutex     sync.Mutex
	queue     []DiskOperation
	busySince time.Time // when the operations under way began, zero if there are none
	// watchdog calls onStall when operations take too long; nil without onStall.
	watchdog *time.Timer
}

// stallLimit is how long disk operations may take before the disk counts as stalled. A chain commits nothing while one of
// its members is stalled.
const stallLimit = 600 * time.Millisecond

// newDiskWriter returns a writer that calls onStall, if it is set, whenever operations take longer than stallLimit.
func newDiskWriter(n *Node, log *segment.Log, onStall func()) *diskWriter {
	d := &diskWriter{
		node: n,
		log:  log,
		wake: make(chan struct{}, 1),
		quit: make(chan struct{}),
		done: make(chan struct{}),
	}
	if onStall != nil {
		d.watchdog = time.AfterFunc(stallLimit, onStall)
		d.watchdog.Stop()
	}
	return d
}

func (d *diskWriter) start() { go d.run() }

// stop ends the goroutine of the writer, waits for it and closes the log.
func (d *diskWriter) stop() {
	close(d.quit)
	<-d.done
	_ = d.log.Close()
}

// add queues operations.
func (d *diskWriter) add(operations []DiskOperation) {
	if len(operations) == 0 {
		return
	}
	d.mutex.Lock()
	d.queue = append(d.queue, operations...)
	d.mutex.Unlock()
	notify(d.wake)
}

// notify wakes the receiver of a channel that buffers one value. It does not block.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// take returns and clears the queue, and starts the watchdog if there are operations.
func (d *diskWriter) take() []DiskOperation {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	operations := d.queue
	d.queue = nil
	d.busySince = time.Time{}
	if len(operations) > 0 {
		d.busySince = time.Now()
		d.startWatchdog()
	}
	return operations
}

// markIdle records that no operations are under way, and stops the watchdog.
func (d *diskWriter) markIdle() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.busySince = time.Time{}
	if d.watchdog != nil {
		d.watchdog.Stop()
	}
}

// startWatchdog arranges for onStall to be called if the operations that begin now take too long. The mutex is held.
func (d *diskWriter) startWatchdog() {
	if d.watchdog != nil {
		d.watchdog.Reset(stallLimit + time.Millisecond)
	}
}

// stalled reports whether the operations under way have taken longer than stallLimit.
func (d *diskWriter) stalled(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return !d.busySince.IsZero() && now.Sub(d.busySince) > stallLimit
}

// run carries out queued operations until the writer is stopped or the disk fails.
func (d *diskWriter) run() {
	defer close(d.done)
	for {
		select {
		case <-d.quit:
			return
		case <-d.wake:
		}
		operations := d.take()
		if len(operations) == 0 {
			continue
		}
		if err := d.write(operations); err != nil {
			d.markIdle()
			d.node.fail(err, true)
			return
		}
		d.markIdle()
		last := operations[len(operations)-1].ID
		d.node.step(func(now time.Duration) { d.node.replica.DiskDone(now, last) })
	}
}

// write carries out operations, and returns once they are on disk.
func (d *diskWriter) write(operations []DiskOperation) error {
	unsynced := false
	for _, operation := range operations {
		if err := d.writeOne(operation); err != nil {
			return err
		}
		unsynced = unsynced || operation.Append != nil || operation.Truncate != nil
	}
	if !unsynced {
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
