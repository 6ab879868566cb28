package main

import (
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// TestTerminatingProcessEndsInTime guards against a process that runs on after its grace period because something that it waits for, such
// as a disk, hangs.
func TestTerminatingProcessEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		terminate, exited := make(chan os.Signal, 1), make(chan time.Time, 1)
		go awaitDeadline(terminate, 7*time.Second, func(time.Duration) { exited <- time.Now() })
		time.Sleep(time.Minute)
		select {
		case <-exited:
			t.Fatal("process that nobody asked to terminate: got its end, want none")
		default:
		}
		terminate <- syscall.SIGTERM
		asked := time.Now()
		if ended := (<-exited).Sub(asked); ended != 7*time.Second {
			t.Errorf("end after the signal: got %v, want %v", ended, 7*time.Second)
		}
	})
}
