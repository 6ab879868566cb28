package chain

import (
	"sync"
	"time"

	"nickelline/internal/segment"
)

// diskWriter carries out the disk operations of a node in order. All that waits is synced together.
type diskWriter struct {
	node *Node
	log  *segment.Log
	wake chan struct{}
	quit chan struct{}
	done chan struct{}

	mutex sync.Mutex
	queue []DiskOperation
	busy  time.Time // since when operations have been under way, zero if none are
	// watchdog tells of operations that take too long.
	watchdog *time.Timer
}

// stallLimit is how long operations may take before the disk counts as stalled: a chain waits for each of its replicas.
const stallLimit = 600 * time.Millisecond

// newDiskWriter makes a writer that calls onStall, if there is one, whenever operations have taken too long.
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

func (d *diskWriter) stop() {
	close(d.quit)
	<-d.done
	_ = d.log.Close()
}

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

func (d *diskWriter) idle() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.busy = time.Time{}
	if d.watchdog != nil {
		d.watchdog.Stop()
	}
}

// watch has the watchdog tell if what begins now takes too long.
func (d *diskWriter) watch() {
	if d.watchdog != nil {
		d.watchdog.Reset(stallLimit + time.Millisecond)
	}
}

// stalled tells whether the operations under way have taken too long.
func (d *diskWriter) stalled(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return !d.busy.IsZero() && now.Sub(d.busy) > stallLimit
}

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
