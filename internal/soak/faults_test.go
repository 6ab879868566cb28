package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"nickelline/internal/pause"
)

const (
	meanPause           = 400 * time.Millisecond // between two faults, with processesPerFault processes
	processesPerFault   = 10
	maxDown             = 3 * time.Second
	maxFreeze           = 2500 * time.Millisecond
	unrestrainedOneIn   = 8  // faults that may hit any number of processes with a disk
	allOfARoleOneIn     = 30 // faults that kill all processes of a role
	secondSignalPause   = 600 * time.Millisecond
	maxReloads          = 5
	reloadPause         = 60 * time.Millisecond
	gracefulFaultWeight = 4 // of 10; the others are killed, frozen or told to read their settings again
)

// faults disturbs processes by a seeded schedule. Faults overlap.
type faults struct {
	tier    *tier
	record  *record
	running sync.WaitGroup

	mutex  sync.Mutex
	random *rand.Rand
	busy   map[*process]bool // has a fault that has not ended
}

func newFaults(tier *tier, record *record, random *rand.Rand) *faults {
	return &faults{tier: tier, record: record, random: random, busy: map[*process]bool{}}
}

// run makes faults for a time, and returns when all processes run again.
func (f *faults) run(ctx context.Context, d time.Duration) {
	interval := meanPause * processesPerFault / time.Duration(len(f.tier.processes))
	for began := time.Now(); time.Since(began) < d && pause.For(ctx, f.between(0, 2*interval)); {
		if f.number(allOfARoleOneIn) == 0 {
			f.killRole()
			continue
		}
		p := f.tier.processes[f.number(len(f.tier.processes))]
		if f.take(p) {
			f.running.Go(func() { f.disturb(ctx, p) })
		}
	}
	f.running.Wait()
}

func (f *faults) between(low, high time.Duration) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return between(f.random, low, high)
}

func (f *faults) number(n int) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.IntN(n)
}

// take reserves a process for a fault. Mostly, only one process of each role with a disk has a fault at a time.
func (f *faults) take(p *process) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.busy[p] {
		return false
	}
	if p.role != roleProxy && f.random.IntN(unrestrainedOneIn) != 0 {
		for other := range f.busy {
			if other.role == p.role {
				return false
			}
		}
	}
	f.busy[p] = true
	return true
}

func (f *faults) release(p *process) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.busy, p)
}

// killRole kills all processes of a role that have no fault, and starts them again.
func (f *faults) killRole() {
	role := []string{roleProxy, roleControl, roleStore}[f.number(3)]
	down := f.between(0, maxDown/2)
	for _, p := range f.tier.ofRole(role) {
		f.mutex.Lock()
		busy := f.busy[p]
		f.busy[p] = true
		f.mutex.Unlock()
		if busy {
			continue
		}
		f.running.Go(func() {
			defer f.release(p)
			f.killAndStart(context.Background(), p, down)
		})
	}
}

// disturb makes one fault.
func (f *faults) disturb(ctx context.Context, p *process) {
	defer f.release(p)
	switch kind := f.number(10); {
	case kind < gracefulFaultWeight:
		f.restart(ctx, p)
	case kind < 6:
		f.killAndStart(ctx, p, f.between(0, maxDown))
	case kind < 8:
		f.freeze(ctx, p)
	default:
		for range 1 + f.number(maxReloads) {
			p.reload()
			pause.For(ctx, f.between(0, 2*reloadPause))
		}
	}
}

// restart terminates a process, at times with further signals while it drains, and starts it again.
func (f *faults) restart(ctx context.Context, p *process) {
	p.terminate()
	switch f.number(6) {
	case 0:
		pause.For(ctx, f.between(0, secondSignalPause))
		p.terminate()
	case 1:
		pause.For(ctx, f.between(0, secondSignalPause))
		p.reload()
	case 2:
		pause.For(ctx, f.between(0, 3*secondSignalPause))
		p.kill()
	case 3:
		p.freeze()
		pause.For(ctx, f.between(0, maxFreeze/2))
		p.thaw()
	}
	p.awaitEnd(gracePeriod + endSlack + maxFreeze/2)
	pause.For(ctx, f.between(0, maxDown))
	p.start()
}

func (f *faults) killAndStart(ctx context.Context, p *process, down time.Duration) {
	p.kill()
	p.awaitEnd(gracePeriod)
	pause.For(ctx, down)
	p.start()
}

// freeze stops a process for a while, at times with SIGHUP or a restart meanwhile.
func (f *faults) freeze(ctx context.Context, p *process) {
	p.freeze()
	pause.For(ctx, f.between(0, maxFreeze))
	if f.number(4) == 0 {
		p.reload()
	}
	p.thaw()
	if f.number(5) == 0 {
		f.restart(ctx, p)
	}
}
