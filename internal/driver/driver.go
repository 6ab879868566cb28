package driver

import (
	"context"
	"math"
	"sync"
	"time"
)

// Never is later than any time of the clock: the time at which a machine is due that waits for an event only.
const Never = time.Duration(math.MaxInt64)

// Machine is a deterministic state machine. Times are by the clock of its driver.
type Machine[Output any] interface {
	// Advance does what is due.
	Advance(now time.Duration)
	// Next returns the time at which Advance has to be called if no event comes before, Never if there is none.
	Next() time.Duration
	// Take returns what is to be done since the last call. Before the driver is started the machine holds back what can
	// only be done by a started process.
	Take(started bool) Output
}

// Perform carries out what a machine wants done. The context ends when the driver stops; now is the time of the event. It
// must not block on the driver, but may call it.
type Perform[Output any] func(ctx context.Context, now time.Duration, output Output)

// Driver runs one machine.
type Driver[Output any] struct {
	perform Perform[Output]
	epoch   time.Time // at which the clock reads 0

	mutex   sync.Mutex // of the fields below
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

// Start begins to advance the machine, at once for the first time, until ctx ends. It must be called once.
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

// Do hands an event to the machine and performs its output. It reports whether the event was handled: after the driver has
// stopped none is.
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

// Inspect calls a function that reads the machine, or changes what neither makes it due nor brings forth output. It does so
// after the driver has stopped, too.
func (d *Driver[Output]) Inspect(inspect func(now time.Duration)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	inspect(d.now())
}

// TimeOf returns a time by the clock of the machine.
func (d *Driver[Output]) TimeOf(at time.Time) time.Duration { return at.Sub(d.epoch) }

func (d *Driver[Output]) now() time.Duration { return time.Since(d.epoch) }

func (d *Driver[Output]) schedule(now time.Duration) {
	if due := d.machine.Next(); due != Never {
		d.timer.Reset(max(due-now, 0))
	}
}
