package simnet

import "testing"

func TestProcessDefersWorkWhileFrozen(t *testing.T) {
	var p Process
	done := 0
	work := func() { done++ }
	p.Do(work)
	p.Freeze()
	p.Do(work)
	p.Do(work)
	if done != 1 || p.Running() {
		t.Errorf("frozen: got %d done, running %v; want 1, false", done, p.Running())
	}
	p.Thaw()
	if done != 3 || !p.Running() {
		t.Errorf("thawed: got %d done, running %v; want 3, true", done, p.Running())
	}
}

func TestStoppedProcessLosesWork(t *testing.T) {
	var p Process
	done := 0
	work := func() { done++ }
	p.Freeze()
	p.Do(work)
	p.Stop()
	p.Do(work)
	p.Freeze()
	if p.Frozen() || !p.Stopped() {
		t.Errorf("stopped: got frozen %v, stopped %v; want false, true", p.Frozen(), p.Stopped())
	}
	p.Start()
	p.Thaw()
	if done != 0 {
		t.Errorf("work from before the start: got %d done, want 0", done)
	}
	p.Do(work)
	if done != 1 {
		t.Errorf("work after the start: got %d done, want 1", done)
	}
}
