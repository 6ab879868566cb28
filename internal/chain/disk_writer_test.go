package chain

import (
	"testing"
	"time"
)

func TestStalledDisk(t *testing.T) {
	d := newDiskWriter(nil, nil, nil)
	now := time.Now()
	if d.stalled(now.Add(time.Hour)) {
		t.Error("stalled before any operation: got true, want false")
	}
	if operations := d.take(); len(operations) != 0 || d.stalled(now.Add(time.Hour)) {
		t.Error("stalled with nothing queued: got true, want false")
	}
	d.add([]DiskOperation{{ID: 1}})
	d.take()
	if d.stalled(time.Now()) {
		t.Error("stalled right after the operations began: got true, want false")
	}
	if !d.stalled(time.Now().Add(2 * stallLimit)) {
		t.Error("stalled after twice the limit: got false, want true")
	}
	d.markIdle()
	if d.stalled(time.Now().Add(2 * stallLimit)) {
		t.Error("stalled after the operations were done: got true, want false")
	}
}

func TestStallIsReported(t *testing.T) {
	reported := make(chan struct{}, 1)
	d := newDiskWriter(nil, nil, func() { notify(reported) })
	d.add([]DiskOperation{{ID: 1}})
	d.take()
	<-reported
	if !d.stalled(time.Now()) {
		t.Error("stalled after the stall was reported: got false, want true")
	}
	d.markIdle()
	if d.watchdog.Stop() {
		t.Error("watchdog after the operations were done: got running, want stopped")
	}
}
