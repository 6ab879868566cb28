package control

import (
	"errors"
	"fmt"
	"syscall"
	"testing"

	"nickelline/internal/faultdisk"
)

// TestControlNodeStartsOnAFailingDisk guards against a control process that ends because its disk fails when it starts: it tries again
// until the disk works, and then has what was acknowledged.
func TestControlNodeStartsOnAFailingDisk(t *testing.T) {
	s := newControlSystem(t)
	s.startAll(true)
	version := uint64(1)
	s.put(0, 0, version)
	failing := [][]faultdisk.Operation{faultdisk.Operations}
	for _, operation := range []faultdisk.Operation{faultdisk.Read, faultdisk.Open, faultdisk.List, faultdisk.SyncFile, faultdisk.SyncDirectory} {
		failing = append(failing, []faultdisk.Operation{operation})
	}
	for i, operations := range failing {
		errno := faultdisk.Errors[i%len(faultdisk.Errors)]
		t.Run(fmt.Sprint(operations, errno), func(t *testing.T) {
			s.waitForFullView(0)
			s.stop(2)
			s.put(0, version, version+1)
			version++
			s.disks[2].Set(&faultdisk.Fault{Operations: operations, Errno: errno})
			attempts := 0
			err := s.openWaiting(2, false, func(err error) bool {
				if !errors.Is(err, errno) {
					t.Errorf("error of a start on a failing disk: got %v, want %v", err, errno)
				}
				if attempts++; attempts == 3 {
					s.disks[2].Set(nil)
				}
				return true
			})
			if err != nil || attempts != 3 {
				t.Fatalf("start on a disk that fails three times: got %v after %d failures", err, attempts)
			}
			s.expectVersion(2, version)
		})
	}
}

// TestTerminationEndsAStartOnAFailingDisk checks that a start is given up when it is not to be tried again.
func TestTerminationEndsAStartOnAFailingDisk(t *testing.T) {
	s := newControlSystem(t)
	s.disks[0].Set(&faultdisk.Fault{Operations: faultdisk.Operations, Errno: syscall.EIO})
	err := s.openWaiting(0, true, func(error) bool { return false })
	if !errors.Is(err, syscall.EIO) {
		t.Errorf("start that is given up: got %v, want %v", err, syscall.EIO)
	}
}
