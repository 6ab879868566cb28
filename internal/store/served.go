package store

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/chain"
	"nickelline/internal/pause"
	"nickelline/internal/view"
)

const (
	// learnRetry is the pause between looks at whether a learner still follows, learnPause that before another member is
	// asked.
	learnRetry = time.Second
	learnPause = 100 * time.Millisecond
	// learnTimeout bounds the time for catching up from one member at first, and learnTimeoutLast after it has doubled with
	// each round over the members: one may be gone, or it may be far to catch up.
	learnTimeout     = 1500 * time.Millisecond
	learnTimeoutLast = 12 * time.Second
	// maxLearnDoublings bounds the exponent, so that it does not overflow.
	maxLearnDoublings = 8
)

// served is a partition that this store keeps: its replica, and its runner while it is the head.
type served struct {
	service   *Service
	partition *partition
	node      *chain.Node
	learning  context.CancelFunc // not nil while the replica is a learner
	runner    atomic.Pointer[runner]

	mutex   sync.Mutex
	stop    context.CancelFunc // not nil while the runner works
	stopped chan struct{}      // closed when the last runner has ended
	closed  bool
}

func newServed(s *Service, number uint32) *served {
	p := &partition{number: number, state: newState(), clock: newHeadClock(), readBound: s.readBound}
	return &served{service: s, partition: p}
}

// start takes the replica into use.
func (d *served) start(node *chain.Node) {
	d.node = node
	d.partition.replica = node
	node.OnView(func(v view.View) {
		d.viewChanged()
		d.service.reportSoon()
		if !v.Has(d.service.options.Self.Replica) {
			go d.service.review(d.partition.number)
		}
	})
	d.viewChanged()
}

// viewChanged starts the runner when this replica has become the head and stops it when it is no longer.
func (d *served) viewChanged() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	isHead := d.node.IsHead()
	switch {
	case isHead && d.stop == nil && !d.closed:
		d.startRunner()
	case !isHead && d.stop != nil:
		d.stopRunner()
	}
}

// startRunner starts a runner behind the end of the one before.
func (d *served) startRunner() {
	ctx, cancel := context.WithCancel(d.service.ctx)
	former, done := d.stopped, make(chan struct{})
	d.stop, d.stopped = cancel, done
	go func() {
		defer close(done)
		if former != nil {
			<-former
		}
		r := newRunner(d.service.execution, d.partition)
		d.runner.Store(r)
		r.run(ctx)
		d.runner.CompareAndSwap(r, nil)
	}()
}

func (d *served) stopRunner() {
	d.stop()
	d.stop = nil
	d.partition.proof.reset()
}

// learn starts or ends following the partition as a learner.
func (d *served) learn(wanted bool) {
	switch {
	case wanted && d.learning == nil:
		ctx, cancel := context.WithCancel(d.service.ctx)
		d.learning = cancel
		go d.follow(ctx)
	case !wanted && d.learning != nil:
		d.learning()
		d.learning = nil
	}
}

// follow keeps the learner fed, by another member whenever it is no longer caught up.
func (d *served) follow(ctx context.Context) {
	self := d.service.options.Self
	for turn := 0; ctx.Err() == nil; {
		members := nearestLast(d.service.membersOf(d.partition.number), self.Zone)
		feeder, timeout, ok := nextFeeder(members, self.Address, turn)
		if ok && !d.node.CaughtUp() {
			d.learnFrom(ctx, feeder, timeout)
			turn++
		}
		wait := learnPause
		if d.node.CaughtUp() {
			turn, wait = 0, learnRetry
		}
		pause.For(ctx, wait)
	}
}

// nextFeeder gives the member to be asked at a turn, from the tail on, and how long to try. A member at the own address is
// the replica that this process had before it lost its disk.
func nextFeeder(members []view.Member, self netip.AddrPort, turn int) (feeder netip.AddrPort, timeout time.Duration, ok bool) {
	var others []netip.AddrPort
	for _, m := range slices.Backward(members) {
		if m.Address != self {
			others = append(others, m.Address)
		}
	}
	if len(others) == 0 {
		return netip.AddrPort{}, 0, false
	}
	round := min(turn/len(others), maxLearnDoublings)
	timeout = min(learnTimeout<<round, learnTimeoutLast)
	return others[turn%len(others)], timeout, true
}

// nearestLast orders members so that those of a zone come last, and otherwise as they were.
func nearestLast(members []view.Member, zone string) []view.Member {
	inZone := func(m view.Member) bool { return m.Zone == zone }
	others := slices.DeleteFunc(slices.Clone(members), inZone)
	near := slices.DeleteFunc(slices.Clone(members), func(m view.Member) bool { return !inZone(m) })
	return append(others, near...)
}

func (d *served) learnFrom(ctx context.Context, feeder netip.AddrPort, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := d.node.Learn(ctx, feeder); err != nil {
		d.service.options.Log.Debug("learn", zap.Uint32("partition", d.partition.number), zap.Error(err))
		return
	}
	d.service.reportSoon()
}

func (d *served) close() {
	if d.learning != nil {
		d.learning()
		d.learning = nil
	}
	d.mutex.Lock()
	d.closed = true
	if d.stop != nil {
		d.stopRunner()
	}
	stopped := d.stopped
	d.mutex.Unlock()
	if stopped != nil {
		<-stopped
	}
	d.node.Close()
}
