package soak

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// signalBit is the bit of a signal in the masks of /proc/PID/status.
func signalBit(s syscall.Signal) uint64 { return 1 << (uint(s) - 1) }

// ignoresOrCatches reports whether the process ignores or catches a signal, as the system sees it.
func (p *process) ignoresOrCatches(s syscall.Signal) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return false
	}
	return (statusMask(string(status), "SigIgn")|statusMask(string(status), "SigCgt"))&signalBit(s) != 0
}

// statusMask returns a mask of /proc/PID/status, 0 if it has none of that name.
func statusMask(status, name string) uint64 {
	for line := range strings.Lines(status) {
		var mask uint64
		if n, _ := fmt.Sscanf(line, name+":\t%x", &mask); n == 1 {
			return mask
		}
	}
	return 0
}

// TestHangupBeforeMain guards against a process being ended by a SIGHUP that arrives while its packages are initialized.
func TestHangupBeforeMain(t *testing.T) {
	record := newRecord()
	tier := newTier(t, buildProgram(t), t.TempDir(), record)
	defer tier.killAll()
	p := tier.ofRole(roleStore)[0]
	p.start()
	for deadline := time.Now().Add(startTimeout); !p.ignoresOrCatches(syscall.SIGHUP); {
		if time.Now().After(deadline) {
			t.Fatalf("SIGHUP is neither ignored nor caught %v after the start", startTimeout)
		}
	}
	p.reload()
	p.terminate()
	p.awaitEnd(startTimeout)
	if status := p.command.ProcessState.Sys().(syscall.WaitStatus); status.Signaled() && status.Signal() == syscall.SIGHUP {
		t.Error("end of the process: by SIGHUP, want by SIGTERM")
	}
}
