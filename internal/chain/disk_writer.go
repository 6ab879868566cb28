package chain

import (
	"errors"
	"sync"
	"time"

	"nickelline/internal/segment"
)

// diskWriter carries out the disk operations of a node in order. Operations that are queued together share one sync. While the disk
// fails, in whatever way, it tries the same operations again: the replica then counts as impaired, like one with a stalled disk, takes
// no part in commits, and goes on once the disk works again. Only errors that no attempt can end (segment.IsTransient) end the replica.
type diskWriter struct {
	node *Node
	log  *segment.Log
	wake chan struct{}
	quit chan struct{}
	done chan struct{}

	mutex     sync.Mutex
	queue     []DiskOperation
	busySince time.Time // when the operations under way began, zero if there are none
	// onStall, if set, is called when operations take too long, by watchdog, or fail.
	onStall  func()
	watchdog *time.Timer
}

// stallLimit is how long disk operations may take before the disk counts as stalled. A chain commits nothing while one of
// its members is stalled.
const stallLimit = 600 * time.Millisecond

// newDiskWriter returns a writer that calls onStall, if it is set, whenever operations take longer than stallLimit or fail.
func newDiskWriter(n *Node, log *segment.Log, onStall func()) *diskWriter {
	d := &diskWriter{
		node: n,
		log:  log,
		wake: make(chan struct{}, 1),
		quit: make(chan struct{}),
		done: make(chan struct{}),

		onStall: onStall,
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

// startWatchdog arranges for onStall, if it is set, to be called if the operations that begin now take too long. The mutex is held.
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

// run carries out queued operations until the writer is stopped or they fail for good.
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
		if err := d.writeUntilDone(operations); err != nil {
			d.markIdle()
			if !errors.Is(err, errWriterStopped) {
				d.node.fail(err, true)
			}
			return
		}
		d.markIdle()
		last := operations[len(operations)-1].ID
		d.node.step(func(now time.Duration) { d.node.replica.DiskDone(now, last) })
	}
}
