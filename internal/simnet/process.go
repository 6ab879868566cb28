package simnet

// Process is the execution state of a simulated process. Its work is done at once while it runs, deferred while it is
// frozen, and dropped when it has stopped. The zero value is a running process.
type Process struct {
	stopped  bool
	frozen   bool
	deferred []func() // work since the process was frozen, in order
}

// Start starts the process anew. Deferred work is dropped.
func (p *Process) Start() { *p = Process{} }

// Stop ends the process. Deferred work is dropped.
func (p *Process) Stop() { *p = Process{stopped: true} }

// Freeze defers all work of the process until Thaw. It has no effect on a stopped process.
func (p *Process) Freeze() { p.frozen = !p.stopped }

// Thaw ends the freeze and does the deferred work.
func (p *Process) Thaw() {
	for _, f := range p.release() {
		p.Do(f)
	}
}

// Do calls f if the process runs, defers the call until Thaw if it is frozen, and drops it if it has stopped.
func (p *Process) Do(f func()) {
	switch {
	case p.stopped:
	case p.frozen:
		p.deferred = append(p.deferred, f)
	default:
		f()
	}
}

// Stopped reports whether the process has stopped.
func (p *Process) Stopped() bool { return p.stopped }

// Frozen reports whether the process is frozen.
func (p *Process) Frozen() bool { return p.frozen }

// Running reports whether the process is neither stopped nor frozen.
func (p *Process) Running() bool { return !p.stopped && !p.frozen }

// release ends the freeze and returns the deferred work.
func (p *Process) release() []func() {
	deferred := p.deferred
	p.frozen = false
	p.deferred = nil
	return deferred
}
