package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/faultdisk"
	"nickelline/internal/segment"
)

func newTestWait() *diskWait {
	return &diskWait{log: zap.NewNop(), caught: &signals{terminate: make(chan os.Signal, 1)}}
}

// TestStartWaitsForAFailingDisk guards against a process that ends because its identity cannot be read or written when it starts.
func TestStartWaitsForAFailingDisk(t *testing.T) {
	for _, operation := range faultdisk.Operations {
		t.Run(string(operation), func(t *testing.T) {
			directory := t.TempDir()
			disk := faultdisk.New(segment.OSFileSystem{})
			disk.Set(&faultdisk.Fault{Operations: []faultdisk.Operation{operation}, Errno: syscall.EIO})
			mended := time.AfterFunc(diskRetryPause/2, func() { disk.Set(nil) })
			defer mended.Stop()
			wait := newTestWait()
			first, err := loadIdentity(disk, directory, wait)
			if err != nil || first == 0 || wait.terminated {
				t.Fatalf("identity on a disk that works again: got %d, %v", first, err)
			}
			again, err := loadIdentity(disk, directory, wait)
			if err != nil || again != first {
				t.Errorf("identity at the next start: got %d, %v, want %d", again, err, first)
			}
		})
	}
}

// A process that is asked to terminate while it waits for its disk does not wait any longer.
func TestTerminationEndsTheWaitForTheDisk(t *testing.T) {
	disk := faultdisk.New(segment.OSFileSystem{})
	disk.Set(&faultdisk.Fault{Operations: faultdisk.Operations, Errno: syscall.EIO})
	wait := newTestWait()
	wait.caught.terminate <- syscall.SIGTERM
	if _, err := loadIdentity(disk, t.TempDir(), wait); err == nil || !wait.terminated {
		t.Errorf("identity on a failing disk of a process that is to terminate: got %v, terminated %v, want an error and true", err, wait.terminated)
	}
}
