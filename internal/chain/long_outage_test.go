package chain

import (
	"errors"
	"fmt"
	"path"
	"slices"
	"strings"
	"testing"
	"time"

	"nickelline/internal/segment"
)

// Histories of hundreds of commands during which one replica is away for a part of them, while the others take snapshots and
// drop segments. It comes back with what it had, at times with its newest snapshot damaged, and is killed while it catches up.
const (
	outageAt       = 2500 * time.Millisecond
	longestOutage  = 18 * time.Second
	outageDuration = 24 * time.Second
	outageCommands = 60 * time.Millisecond // between two commands
	mostRestarts   = 4
	restartPause   = 400 // ms at the most, between kills while it catches up

	// caughtUpWithin bounds the time from the last start of a replica until it has applied all that is committed.
	caughtUpWithin = 3 * time.Second
)

func TestLongOutage(t *testing.T) {
	histories := environment(t, historiesVariable, defaultHistories) / 10
	firstSeed := environment(t, seedVariable, 1)
	for worker := range 4 {
		t.Run(fmt.Sprintf("worker %d", worker), func(t *testing.T) {
			t.Parallel()
			var slowest time.Duration
			var total summary
			damaged, discarded := 0, 0
			for i := worker; i < histories && !t.Failed(); i += 4 {
				s := newOutage(t, uint64(firstSeed+i))
				s.run()
				slowest = max(slowest, s.caughtUpAfter)
				total.add(s.simulation)
				damaged += s.damaged
				discarded += s.discarded
			}
			t.Logf("caught up within %v, %d snapshots damaged, %d logs discarded, %+v", slowest, damaged, discarded, total)
		})
	}
}

// outage is a history with one long outage.
type outage struct {
	*simulation
	away          *site
	startedAt     time.Duration // last start of the site that was away
	caughtUpAfter time.Duration
	damaged       int // snapshots
	discarded     int // replicas whose logs could not be read any more
}

func newOutage(t *testing.T, seed uint64) *outage {
	a := &outage{simulation: newAgreedSimulation(t, seed)}
	a.duration = outageDuration
	a.operationGroups = int(outageDuration / outageCommands)
	a.network.Conditions.Loss = 0
	a.snapshotBytes = []int{120, 400, 1200}[a.random.IntN(3)]
	a.planFaults = func() { a.network.At(a.network.Now()+outageAt, a.leave) }
	return a
}

// leave has a member go for a while.
func (a *outage) leave() {
	a.away = a.memberSite()
	a.logf("away %d", a.away.index)
	a.away.end(a.random.IntN(2) == 0)
	duration := time.Second + time.Duration(a.random.Int64N(int64(longestOutage)))
	a.after(duration, func() {
		if a.random.IntN(3) == 0 {
			a.damageNewestSnapshot()
		}
		a.comeBack(a.random.IntN(mostRestarts))
	})
}

// comeBack starts the site, and kills it a number of times while it catches up. The other members may go then too.
func (a *outage) comeBack(restarts int) {
	if a.network.Up(a.away.address) {
		return
	}
	if a.away.startOrDiscard() {
		a.discarded++
	}
	a.startedAt = a.network.Now()
	if restarts == 0 {
		a.awaitCaughtUp()
		return
	}
	a.after(time.Duration(a.random.IntN(restartPause))*time.Millisecond, func() {
		a.away.end(a.random.IntN(2) == 0)
		if a.random.IntN(3) == 0 {
			a.end(a.memberSite(), true, time.Second/2)
		}
		a.after(time.Duration(a.random.IntN(restartPause))*time.Millisecond, func() { a.comeBack(restarts - 1) })
	})
}

// awaitCaughtUp measures how long the site takes until it has what was committed a moment before.
func (a *outage) awaitCaughtUp() {
	committed := a.highest
	a.afterStep = func() {
		waited := a.network.Now() - a.startedAt
		if a.away.applied >= committed {
			a.afterStep = nil
			a.caughtUpAfter = waited
			return
		}
		if waited > caughtUpWithin {
			a.afterStep = nil
			a.fatalf("site %d has applied %d of %d after %v", a.away.index, a.away.applied, committed, waited)
		}
	}
}

// damageNewestSnapshot flips a bit of it.
func (a *outage) damageNewestSnapshot() {
	directory := path.Join(siteDirectory, LogDirectory)
	names, err := a.away.disk.Mount().List(directory)
	a.away.check(err)
	snapshots := slices.DeleteFunc(slices.Sorted(slices.Values(names)), func(name string) bool { return !strings.HasSuffix(name, ".snapshot") })
	if len(snapshots) > 0 {
		a.logf("newest snapshot of %d is damaged", a.away.index)
		a.damaged++
		a.away.disk.FlipBit(path.Join(directory, snapshots[len(snapshots)-1]))
	}
}

// startOrDiscard starts a replica, or a new one if what the disk holds cannot be read. It reports whether that was so.
func (s *site) startOrDiscard() bool {
	_, _, err := segment.Open(s.disk.Mount(), path.Join(siteDirectory, LogDirectory), segment.Options{SegmentSize: 500})
	damaged := errors.Is(err, segment.ErrDamaged)
	if damaged {
		s.simulation.logf("site %d is discarded: %v", s.index, err)
		s.wipe()
	}
	s.start(false)
	return damaged
}
