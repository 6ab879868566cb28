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

// Histories of hundreds of commands in which one replica is down for some time, while the others take snapshots and drop
// segments. The replica restarts with what its disk had, at times with its newest snapshot damaged, and may be killed
// while it catches up.
const (
	outageAt              = 2500 * time.Millisecond
	longestOutage         = 18 * time.Second
	outageDuration        = 24 * time.Second
	outageCommandInterval = 60 * time.Millisecond // mean time between groups of operations
	maxRestarts           = 4                     // exclusive
	maxRestartPauseMs     = 400                   // exclusive, between the kills and restarts while the replica catches up

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
			t.Logf("slowest catch-up %v, %d snapshots damaged, %d logs discarded, %+v", slowest, damaged, discarded, total)
		})
	}
}

// outage is a history with one long outage.
type outage struct {
	*simulation
	away          *site
	startedAt     time.Duration // when the site that was away was last started
	caughtUpAfter time.Duration // time from startedAt until it had caught up
	damaged       int           // count of damaged snapshots
	discarded     int           // count of replicas that were discarded as their logs could not be read
}

func newOutage(t *testing.T, seed uint64) *outage {
	a := &outage{simulation: newAgreedSimulation(t, seed)}
	a.duration = outageDuration
	a.operationGroups = int(outageDuration / outageCommandInterval)
	a.network.Conditions.Loss = 0
	a.snapshotBytes = []int{120, 400, 1200}[a.random.IntN(3)]
	a.planFaults = func() { a.network.At(a.network.Now()+outageAt, a.beginOutage) }
	return a
}

// beginOutage stops a random member for a random time.
func (a *outage) beginOutage() {
	a.away = a.memberSite()
	a.logf("away %d", a.away.index)
	a.away.stop(a.random.IntN(2) == 0)
	duration := time.Second + time.Duration(a.random.Int64N(int64(longestOutage)))
	a.after(duration, func() {
		if a.random.IntN(3) == 0 {
			a.damageNewestSnapshot()
		}
		a.restartRepeatedly(a.random.IntN(maxRestarts))
	})
}

// restartRepeatedly starts the site, and kills and restarts it a number of times while it catches up. A member, which may
// be another one, may lose power at the same time.
func (a *outage) restartRepeatedly(restarts int) {
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
	a.after(time.Duration(a.random.IntN(maxRestartPauseMs))*time.Millisecond, func() {
		a.away.stop(a.random.IntN(2) == 0)
		if a.random.IntN(3) == 0 {
			a.restart(a.memberSite(), true, time.Second/2)
		}
		a.after(time.Duration(a.random.IntN(maxRestartPauseMs))*time.Millisecond, func() { a.restartRepeatedly(restarts - 1) })
	})
}

// awaitCaughtUp measures how long after its last start the site has applied what was committed at that start.
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
			a.fatalf("site %d has applied %d of %d entries %v after its start", a.away.index, a.away.applied, committed, waited)
		}
	}
}

// damageNewestSnapshot flips a bit of the newest snapshot of the site that is away, if it has one.
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

// startOrDiscard starts the replica of a site. If its log cannot be read, it wipes the disk first and reports true.
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
