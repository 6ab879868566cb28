package driver

import (
	"context"
	"math"
	"sync"
	"time"
)

// Never is later than any time of the clock. A machine that only waits for events returns it as its next deadline.
const Never = time.Duration(math.MaxInt64)

// Machine is a deterministic state machine. Times are by the clock of its driver.
type Machine[Output any] interface {
	// Advance performs the actions that are due.
	Advance(now time.Duration)
	// Next returns the time at which Advance has to be called if no event occurs earlier, Never if nothing is due.
	Next() time.Duration
	// Take returns the output since the last call. Before the driver is started the machine retains the output that only a
	// started process can perform.
	Take(started bool) Output
}

// Perform performs the output of a machine. The context ends when the driver stops; now is the time of the event. It
// must not block on the driver, but may call it.
type Perform[Output any] func(ctx context.Context, now time.Duration, output Output)

// Driver runs one machine.
type Driver[Output any] struct {
	perform Perform[Output]
	epoch   time.Time // time at which the clock of the machine reads 0

	mutex   sync.Mutex // guards the fields below
	machine Machine[Output]
	ctx     context.Context
	timer   *time.Timer // nil before Start
	stopped bool
}

// New returns a driver that handles events but is not started yet.
func New[Output any](machine Machine[Output], perform Perform[Output]) *Driver[Output] {
	return &Driver[Output]{
		perform: perform,
		epoch:   time.Now(),
		machine: machine,
		ctx:     context.Background(),
	}
}

// Start begins to advance the machine, immediately and then whenever it is due, until ctx ends. It must be called once.
func (d *Driver[Output]) Start(ctx context.Context) {
	d.mutex.Lock()
	d.ctx = ctx
	d.timer = time.AfterFunc(0, d.tick)
	d.mutex.Unlock()
	context.AfterFunc(ctx, d.stop)
}

func (d *Driver[Output]) stop() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stopped = true
	d.timer.Stop()
}

func (d *Driver[Output]) tick() { d.Do(d.machine.Advance) }

// Do delivers an event to the machine and performs the output. It returns false, and does not handle the event, if the
// driver has stopped.
func (d *Driver[Output]) Do(event func(now time.Duration)) bool {
	d.mutex.Lock()
	if d.stopped {
		d.mutex.Unlock()
		return false
	}
	now := d.now()
	event(now)
	started := d.timer != nil
	output := d.machine.Take(started)
	if started {
		d.schedule(now)
	}
	ctx := d.ctx
	d.mutex.Unlock()
	d.perform(ctx, now, output)
	return true
}

// Inspect calls a function that reads the machine, or changes it without affecting its next deadline or producing
// output. It also does so after the driver has stopped.
func (d *Driver[Output]) Inspect(inspect func(now time.Duration)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	inspect(d.now())
}

// TimeOf converts a time to the clock of the machine.
func (d *Driver[Output]) TimeOf(at time.Time) time.Duration { return at.Sub(d.epoch) }

func (d *Driver[Output]) now() time.Duration { return time.Since(d.epoch) }

func (d *Driver[Output]) schedule(now time.Duration) {
	if due := d.machine.Next(); due != Never {
		d.timer.Reset(max(due-now, 0))
	}
}
