package simnet

// Process says what happens to the work of a simulated process: it is done if the process runs, put off while the process
// is frozen, and lost if the process has stopped. The zero value runs.
type Process struct {
	stopped  bool
	frozen   bool
	deferred []func() // what it would have done since it was frozen
}

// Start has the process run, without the work that was put off before.
func (p *Process) Start() { *p = Process{} }

// Stop ends the process. What was put off is lost.
func (p *Process) Stop() { *p = Process{stopped: true} }

// Freeze puts off all work of the process until Thaw, unless it has stopped.
func (p *Process) Freeze() { p.frozen = !p.stopped }

// Thaw ends Freeze, and does the work that was put off.
func (p *Process) Thaw() {
	for _, f := range p.release() {
		p.Do(f)
	}
}

// Do calls f if the process runs, and after Thaw if it is frozen.
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

// release ends Freeze and returns the work that was put off.
func (p *Process) release() []func() {
	deferred := p.deferred
	p.frozen = false
	p.deferred = nil
	return deferred
}
