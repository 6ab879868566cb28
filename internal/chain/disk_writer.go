package chain

import (
	"sync"
	"time"

	"nickelline/internal/segment"
)

// diskWriter carries out the disk operations of a node in order. Operations that wait are synced together.
type diskWriter struct {
	node *Node
	log  *segment.Log
	wake chan struct{}
	quit chan struct{}
	done chan struct{}

	mutex sync.Mutex
	queue []DiskOperation
	busy  time.Time // since when operations have been under way, zero if none are
	// watchdog calls onStall when operations take too long; nil without onStall.
	watchdog *time.Timer
}

// stallLimit is how long disk operations may take before the disk counts as stalled. A chain commits nothing while one of
// its members is stalled.
const stallLimit = 600 * time.Millisecond

// newDiskWriter returns a writer that calls onStall, if it is set, whenever operations have taken too long.
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

// notify wakes the receiver of a channel with room for one.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// take removes what is queued, and starts the clock of the stall limit if there is anything.
func (d *diskWriter) take() []DiskOperation {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	operations := d.queue
	d.queue = nil
	d.busy = time.Time{}
	if len(operations) > 0 {
		d.busy = time.Now()
		d.watch()
	}
	return operations
}

// idle stops the clock of the stall limit.
func (d *diskWriter) idle() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.busy = time.Time{}
	if d.watchdog != nil {
		d.watchdog.Stop()
	}
}

// watch has the watchdog call onStall if the operations that begin now take too long. The mutex is held.
func (d *diskWriter) watch() {
	if d.watchdog != nil {
		d.watchdog.Reset(stallLimit + time.Millisecond)
	}
}

// stalled reports whether the operations under way have taken too long.
func (d *diskWriter) stalled(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return !d.busy.IsZero() && now.Sub(d.busy) > stallLimit
}

// run writes what is queued until the writer is stopped or the disk fails.
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
			d.idle()
			d.node.fail(err, true)
			return
		}
		d.idle()
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
