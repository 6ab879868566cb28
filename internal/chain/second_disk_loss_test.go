package chain

import (
	"slices"
	"testing"
	"time"
)

// Histories of a second loss: something takes a replica out of the chain, or replaces it, and at some step of what follows
// disks are lost, mostly while all other machines lose power. Whatever the step, the chain has to come back with all that was
// acknowledged and take a new command. NICKELLINE_CHAIN_HISTORIES and NICKELLINE_CHAIN_SEED apply.
const (
	firstLossAt        = 3 * time.Second
	secondLossSteps    = 1500 // within which the second loss comes, counted from the first one
	secondLossNearView = 80   // or after a view that is in force somewhere
	viewsBeforeLoss    = 5    // of those that follow the first loss
)

func TestSecondLossAtAnyStep(t *testing.T) {
	runHistories(t, func(t *testing.T, seed uint64) *simulation {
		s := newAgreedSimulation(t, seed)
		s.planFaults = s.planSecondLoss
		return s
	})
}

// planSecondLoss draws the first loss, and the step at which the second one comes.
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

// memberSite draws a member of the newest view.
func (s *simulation) memberSite() *site {
	member := s.newest.Members[s.random.IntN(len(s.newest.Members))]
	return s.siteAt(member.Address)
}

// firstLoss handles a site out of the chain without the loss of a disk that is needed.
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
		s.end(target, true, duration)
	case 4:
		s.freeze(target, duration)
	case 5:
		s.logf("power loss of all")
		for _, other := range s.sites {
			s.end(other, true, time.Duration(s.random.Int64N(int64(duration))))
		}
	default:
		s.replace(target, duration/4)
	}
}

// isolate partitions a site from all others: both ways (direction 0), only what it sends (1), or only what it is sent (2).
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

// awaitSecondLoss counts steps until disks are lost.
func (s *simulation) awaitSecondLoss() {
	steps := s.random.IntN(secondLossSteps)
	views := 0
	if s.random.IntN(2) == 0 {
		steps, views = s.random.IntN(secondLossNearView), 1+s.random.IntN(viewsBeforeLoss)
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

// secondLoss wipes as many disks as the chain has to bear, mostly while all others lose power.
func (s *simulation) secondLoss() {
	if s.healed {
		return
	}
	back := time.Duration(s.random.Int64N(int64(2 * time.Second)))
	var wiped []*site
	for s.mayLoseDisk() && len(wiped) < len(s.sites) {
		target := s.memberSite()
		if slices.Contains(wiped, target) {
			continue
		}
		s.takeDisk(target, back)
		wiped = append(wiped, target)
	}
	if len(wiped) == 0 || s.random.IntN(4) == 0 {
		return
	}
	s.logf("and power loss of all")
	for _, other := range s.sites {
		if !slices.Contains(wiped, other) {
			s.end(other, true, time.Duration(s.random.Int64N(int64(2*time.Second))))
		}
	}
}
