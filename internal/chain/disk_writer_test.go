package chain

import (
	"testing"
	"time"
)

func TestStalledDisk(t *testing.T) {
	d := newDiskWriter(nil, nil, nil)
	now := time.Now()
	if d.stalled(now.Add(time.Hour)) {
		t.Error("an idle disk is stalled")
	}
	if operations := d.take(); len(operations) != 0 || d.stalled(now.Add(time.Hour)) {
		t.Error("a disk with nothing to do is stalled")
	}
	d.add([]DiskOperation{{ID: 1}})
	d.take()
	if d.stalled(time.Now()) {
		t.Error("stalled at once")
	}
	if !d.stalled(time.Now().Add(2 * stallLimit)) {
		t.Error("not stalled after twice the limit")
	}
	d.idle()
	if d.stalled(time.Now().Add(2 * stallLimit)) {
		t.Error("stalled after the operations were done")
	}
}

func TestStallIsReported(t *testing.T) {
	reported := make(chan struct{}, 1)
	d := newDiskWriter(nil, nil, func() { notify(reported) })
	d.add([]DiskOperation{{ID: 1}})
	d.take()
	<-reported
	if !d.stalled(time.Now()) {
		t.Error("a stall was reported, but the disk is not stalled")
	}
	d.idle()
	if d.watchdog.Stop() {
		t.Error("the watchdog runs on after the operations were done")
	}
}
