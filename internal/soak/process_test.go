package soak

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"nickelline/internal/faultdisk"
)

const (
	// endSlack is how much longer than the grace period a process may take to end, on a busy machine.
	endSlack = time.Second
	// dumpTime is how long a process may take to log its stacks.
	dumpTime = time.Second
)

// process is a process of the tier, which may be started again and again.
type process struct {
	t         *testing.T
	record    *record
	role      string
	index     int
	name      string
	address   netip.AddrPort
	program   string
	directory string
	settings  string // for all starts but the first

	mutex    sync.Mutex
	command  *exec.Cmd
	ended    chan struct{} // closed when the current process has ended
	expected bool          // the current process has been told to end
	killed   bool          // by SIGKILL
	frozen   bool
	starts   int
	logStart int64     // length of the log when the current process was started
	toldAt   time.Time // when the current process was first told to end
	abrupt   time.Time // the latest time at which the process was killed or so ended, was frozen or thawed
}

func (p *process) writeSettings(text string) {
	if err := os.WriteFile(p.settingsPath(), []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

func (p *process) settingsPath() string { return filepath.Join(p.directory, p.name+".toml") }

// faultPath returns the path of the file that says how the process's disk fails, if the program is one that heeds it.
func (p *process) faultPath() string { return filepath.Join(p.directory, p.name+".fault") }

func (p *process) logPath() string { return filepath.Join(p.directory, p.name+".log") }

// logLength returns the length of the process's log.
func (p *process) logLength() int64 {
	info, err := os.Stat(p.logPath())
	if err != nil {
		p.t.Error(err)
		return 0
	}
	return info.Size()
}

// start starts the process. The first start is the initial start of the deployment.
func (p *process) start() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.starts == 1 {
		p.writeSettings(p.settings)
	}
	p.starts++
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Error(err)
		return
	}
	defer log.Close()
	fmt.Fprintf(log, "--- start %d at %s\n", p.starts, time.Now().Format(time.RFC3339Nano))
	p.logStart = p.logLength()
	p.command = exec.Command(p.program, p.role)
	p.command.Env = append(os.Environ(), "NICKELLINE_BOOT="+p.settingsPath(), faultdisk.SourceVariable+"="+p.faultPath())
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		p.t.Error(err)
		return
	}
	p.expected, p.killed, p.frozen = false, false, false
	p.toldAt = time.Time{}
	p.ended = make(chan struct{})
	go p.reap(p.command, p.ended)
}

// reap waits for the end of a process. It records an end that nobody asked for, and a failure after SIGTERM.
func (p *process) reap(command *exec.Cmd, ended chan struct{}) {
	err := command.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	defer close(ended)
	if p.killed {
		p.abrupt = time.Now()
	}
	var exit *exec.ExitError
	switch {
	case !p.expected:
		p.record.misbehaved("%s ended by itself: %v", p.name, err)
	case p.killed, err == nil:
	case err.Error() == "signal: "+syscall.SIGTERM.String() && p.logLength() == p.logStart:
		// Its packages were being initialized. Before main no Go program can catch SIGTERM, and this one has begun nothing.
	case errors.As(err, &exit):
		p.record.misbehaved("%s ended with %v after SIGTERM", p.name, err)
	default:
		p.record.misbehaved("%s: %v", p.name, err)
	}
}

// isRunning reports whether the process runs. The caller holds the mutex.
func (p *process) isRunning() bool {
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process if it runs. The caller holds the mutex.
func (p *process) signal(s syscall.Signal) {
	if p.isRunning() {
		_ = p.command.Process.Signal(s) // fails if the process has just ended
	}
}

// terminate sends SIGTERM.
func (p *process) terminate() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.expected = true
	if p.toldAt.IsZero() {
		p.toldAt = time.Now()
	}
	p.signal(syscall.SIGTERM)
}

// kill sends SIGKILL.
func (p *process) kill() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.expected, p.killed = true, true
	p.abrupt = time.Now()
	p.signal(syscall.SIGKILL)
}

// reload sends SIGHUP.
func (p *process) reload() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.signal(syscall.SIGHUP)
}

// freeze sends SIGSTOP.
func (p *process) freeze() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.frozen = true
	p.abrupt = time.Now()
	p.signal(syscall.SIGSTOP)
}

// thaw sends SIGCONT.
func (p *process) thaw() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.frozen = false
	p.abrupt = time.Now()
	p.signal(syscall.SIGCONT)
}

// awaitEnd waits until the process has ended after SIGTERM or SIGKILL, and records it as a violation if that takes longer
// than the given time; then it lets the process log the stacks of its goroutines and kills it.
func (p *process) awaitEnd(limit time.Duration) {
	p.mutex.Lock()
	ended := p.ended
	p.mutex.Unlock()
	if ended == nil {
		return
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ended:
		return
	case <-timer.C:
	}
	p.record.misbehaved("%s still runs %v after it was told to end", p.name, limit)
	p.dumpStacks(ended)
	p.kill()
	<-ended
}

// dumpStacks makes the process log the stacks of its goroutines, which also ends it.
func (p *process) dumpStacks(ended <-chan struct{}) {
	p.mutex.Lock()
	p.killed = true
	p.signal(syscall.SIGQUIT)
	p.mutex.Unlock()
	timer := time.NewTimer(dumpTime)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	}
}

// runs reports whether the process runs.
func (p *process) runs() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.isRunning()
}

// wasAbrupt reports whether the process was killed or frozen since a time. A process that is told to end by SIGKILL runs on for a
// moment, so that it may still read a request that was sent after that.
func (p *process) wasAbrupt(since time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.frozen || p.killed || p.abrupt.After(since)
}
