package chain

import (
	"slices"
	"testing"
	"time"
)

// Histories of a second loss: a fault takes a replica out of the chain, or the replica is replaced, and at a random step
// afterwards disks are lost, mostly while all other machines lose power. Whatever the step, the chain has to recover all
// that was acknowledged and commit a new command. NICKELLINE_CHAIN_HISTORIES and NICKELLINE_CHAIN_SEED apply.
const (
	firstLossAt              = 3 * time.Second
	secondLossSteps          = 1500 // steps after the first loss within which the second one comes
	secondLossStepsAfterView = 80   // the same, counted from a later view that comes into force somewhere
	viewsBeforeLoss          = 5    // views after the first loss from which that view is drawn
)

func TestSecondLossAtAnyStep(t *testing.T) {
	runHistories(t, defaultHistories, func(t *testing.T, seed uint64) *simulation {
		s := newAgreedSimulation(t, seed)
		s.planFaults = s.planSecondLoss
		return s
	})
}

// planSecondLoss schedules the first loss, and draws the step at which the second one comes.
func (s *simulation) planSecondLoss() {
	s.network.At(s.network.Now()+firstLossAt, func() {
		if s.newest.Epoch == 0 {
			return
		}
		duration := time.Second + time.Duration(s.random.Int64N(int64(6*time.Second)))
		s.firstLoss(s.memberSite(), duration)
		s.after(duration/2, func() { s.firstLoss(s.memberSite(), duration/2) })
		s.awaitSecondLoss()
	})
}

// memberSite returns the site of a random member of the newest view.
func (s *simulation) memberSite() *site {
	member := s.newest.Members[s.random.IntN(len(s.newest.Members))]
	return s.siteAt(member.Address)
}

// firstLoss takes a site out of the chain by a random fault that loses no needed disk, or replaces it.
func (s *simulation) firstLoss(target *site, duration time.Duration) {
	switch s.random.IntN(8) {
	case 0:
		s.isolate(target, duration, 0)
	case 1:
		s.isolate(target, duration, 1)
	case 2:
		s.isolate(target, duration, 2)
	case 3:
		s.logf("power loss %d", target.index)
		s.restart(target, true, duration)
	case 4:
		s.freeze(target, duration)
	case 5:
		s.logf("power loss of all")
		for _, other := range s.sites {
			s.restart(other, true, time.Duration(s.random.Int64N(int64(duration))))
		}
	default:
		s.replace(target, duration/4)
	}
}

// isolate partitions a site from all others, in both directions (direction 0), only for messages from it (1), or only
// for messages to it (2).
func (s *simulation) isolate(target *site, duration time.Duration, direction int) {
	s.logf("isolated %d, direction %d", target.index, direction)
	set := func(partitioned bool) {
		for _, other := range s.sites {
			if direction != 2 {
				s.network.Partition(target.address, other.address, partitioned)
			}
			if direction != 1 {
				s.network.Partition(other.address, target.address, partitioned)
			}
		}
	}
	set(true)
	s.after(duration, func() { set(false) })
}

// awaitSecondLoss draws the step of the second loss, and counts steps until then.
func (s *simulation) awaitSecondLoss() {
	steps := s.random.IntN(secondLossSteps)
	views := 0
	if s.random.IntN(2) == 0 {
		steps, views = s.random.IntN(secondLossStepsAfterView), 1+s.random.IntN(viewsBeforeLoss)
	}
	epoch := s.newest.Epoch
	s.afterStep = func() {
		if views > 0 && s.newest.Epoch < epoch+uint64(views) {
			return
		}
		if steps--; steps > 0 {
			return
		}
		s.afterStep = nil
		s.secondLoss()
	}
}

// secondLoss wipes as many disks as the chain has to tolerate, and mostly has all other sites lose power as well.
func (s *simulation) secondLoss() {
	if s.healed {
		return
	}
	downtime := time.Duration(s.random.Int64N(int64(2 * time.Second)))
	var wiped []*site
	for s.mayLoseDisk() && len(wiped) < len(s.sites) {
		target := s.memberSite()
		if slices.Contains(wiped, target) {
			continue
		}
		s.recordDiskLoss(target, downtime)
		wiped = append(wiped, target)
	}
	if len(wiped) == 0 || s.random.IntN(4) == 0 {
		return
	}
	s.logf("and power loss of all")
	for _, other := range s.sites {
		if !slices.Contains(wiped, other) {
			s.restart(other, true, time.Duration(s.random.Int64N(int64(2*time.Second))))
		}
	}
}
