package store

import (
	"fmt"
	"syscall"
	"testing"

	"nickelline/internal/faultdisk"
)

// TestStoreStartsOnAFailingDisk guards against a store process that ends, or goes on without a partition, because its disk fails when it
// starts: it reports that it is impaired, and opens its partitions once the disk works.
func TestStoreStartsOnAFailingDisk(t *testing.T) {
	failing := [][]faultdisk.Operation{faultdisk.Operations}
	for _, operation := range faultdisk.Operations {
		failing = append(failing, []faultdisk.Operation{operation})
	}
	for i, operations := range failing {
		errno := faultdisk.Errors[i%len(faultdisk.Errors)]
		t.Run(fmt.Sprint(operations, errno), func(t *testing.T) {
			c := newCluster(t, 2)
			c.place(1, []int{0, 1}, nil)
			job := testJob(testKey(1), 10, 3)
			c.submit(job)
			before := c.results(job)
			c.close(0)
			s := c.stores[0]
			s.disk.Set(&faultdisk.Fault{Operations: operations, Errno: errno})
			c.open(0, s.self.Address)
			s.service.retryDisk()
			if stats := s.service.Stats(); stats.Partitions == 0 && (!s.service.isImpaired() || stats.Disk.Err == nil) {
				t.Errorf("store that could not open its partition: got it working, with disk status %+v", stats.Disk)
			}
			s.disk.Set(nil)
			s.service.retryDisk()
			if stats := s.service.Stats(); stats.Partitions != 1 || stats.Unopened != 0 {
				t.Fatalf("store whose disk works again: got %+v, want its partition", stats)
			}
			c.place(2, []int{0, 1}, nil)
			c.checkUnchanged(job, before)
			next := testJob(testKey(2), 10, 3)
			c.submit(next)
			c.checkCompleted(c.results(next), 3)
		})
	}
}

// TestDiscardedLogIsRemovedLater guards against the log of a partition that is not placed here any more and stays on the disk, because the
// disk failed when it was to be removed.
func TestDiscardedLogIsRemovedLater(t *testing.T) {
	c := newCluster(t, 3)
	c.place(1, []int{0, 1}, nil)
	job := testJob(testKey(1), 10, 3)
	c.submit(job)
	c.results(job)
	s := c.stores[1].service
	c.stores[1].disk.Set(&faultdisk.Fault{Operations: []faultdisk.Operation{faultdisk.Remove}, Errno: syscall.EIO})
	s.mutex.Lock()
	s.discard(s.partitions[1])
	pending := len(s.unremoved)
	s.mutex.Unlock()
	if pending != 1 {
		t.Fatalf("logs that are still to be removed: got %d, want 1", pending)
	}
	c.stores[1].disk.Set(nil)
	s.retryDisk()
	names, err := c.stores[1].disk.List(s.logOf(1))
	if err != nil || len(names) != 0 || len(s.unremoved) != 0 {
		t.Errorf("files of the discarded log: got %v, %v, and %d logs to be removed; want none", names, err, len(s.unremoved))
	}
}
